package review

import "testing"

// TestReviewCase6: after a step of the wall clock a replica that lags by as much counts as up to date.
func TestReviewCase6(t *testing.T) { runCase(t, "6") }

// TestReviewCase7: a gateway takes a replica for the primary on another gateway's word, after the replica itself denied it.
func TestReviewCase7(t *testing.T) { runCase(t, "7") }

// TestReviewCase8: attempts begin after their client has closed, at a gateway that stood still.
func TestReviewCase8(t *testing.T) { runCase(t, "8") }

// TestReviewCase9: final answers come too late from a gateway that stood still.
func TestReviewCase9(t *testing.T) { runCase(t, "9") }

// TestReviewCase10: a gateway whose list is pushed sends to servers that drain.
func TestReviewCase10(t *testing.T) { runCase(t, "10") }
