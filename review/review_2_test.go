package review

import "testing"

// TestReviewCase6: attempts begin after their client has closed, at a gateway that stood still.
func TestReviewCase6(t *testing.T) { runCase(t, "6") }

// TestReviewCase7: a gateway whose list is pushed sends to servers that drain.
func TestReviewCase7(t *testing.T) { runCase(t, "7") }

// TestReviewCase8: final answers come too late from a gateway that stood still.
func TestReviewCase8(t *testing.T) { runCase(t, "8") }
