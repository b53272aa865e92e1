package results

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"magpieglade/rehearse"
	"magpieglade/rehearse/audit"
)

// Write must write all files. The page must not load external resources, and must escape the scenario's texts.
func TestWrite(t *testing.T) {
	s, err := rehearse.Find("gateways-die")
	if err != nil {
		t.Fatal(err)
	}
	s.Description = "<script>alert(1)</script>"
	r, err := rehearse.Simulate(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Violations = append(r.Violations, audit.Violation{Rule: audit.RuleNoStaleRead, Description: "planted <b>", History: []string{"1 ms asked"}})
	folder := filepath.Join(t.TempDir(), "out")
	if err := Write(folder, r); err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, name := range []string{"report.html", "seconds.csv", "members.csv", "types.csv", "broken.jsonl"} {
		text, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		files[name] = string(text)
	}
	page := files["report.html"]
	for _, part := range []string{"<svg", "kill gateway 1, at 10s for 4s", "my-page", "broken", "1 times", "1 ms asked", "viewport"} {
		if !strings.Contains(page, part) {
			t.Errorf("the page does not contain %q", part)
		}
	}
	for _, part := range []string{"<script", "http://", "https://", "planted <b>"} {
		if strings.Contains(strings.ReplaceAll(strings.ReplaceAll(page, "http://www.w3.org/2000/svg", ""), "http://www.w3.org/1999/xlink", ""), part) {
			t.Errorf("the page contains %q", part)
		}
	}
	if n := strings.Count(files["seconds.csv"], "\n"); n < 30 || strings.Count(files["members.csv"], "\n") != 4 || strings.Count(files["broken.jsonl"], "\n") != 1 {
		t.Error(n, files["members.csv"], files["broken.jsonl"])
	}
}
