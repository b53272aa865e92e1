package review

import "testing"

// TestReviewCase6: attempts begin after their client has closed, at a gateway that stood still.
func TestReviewCase6(t *testing.T) { runCase(t, "6") }
