package itest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// BuildCommit compiles the program of a commit of the repository's history into folder and returns the path of the binary.
// It fails in a clone that lacks the commit.
func BuildCommit(folder, commit string) (string, error) {
	r, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fmt.Errorf("find the repository: %w; run the test in a clone", err)
	}
	s := filepath.Join(folder, "source-"+commit)
	if err := os.Mkdir(s, 0o700); err != nil {
		return "", err
	}
	a := filepath.Join(folder, commit+".tar")
	c := exec.Command("git", "archive", "--output", a, commit)
	c.Dir = string(r[:len(r)-1]) // without the line break
	if b, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("read commit %s: %w: %s; fetch the whole history, the clone may be shallow", commit, err, b)
	}
	if b, err := exec.Command("tar", "-x", "-f", a, "-C", s, "--exclude=journal").CombinedOutput(); err != nil {
		return "", fmt.Errorf("unpack commit %s: %w: %s", commit, err, b)
	}
	p := filepath.Join(folder, "hickoryshelf-"+commit)
	c = exec.Command("go", "build", "-o", p, ".")
	c.Dir = s
	if b, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build commit %s: %w: %s", commit, err, b)
	}
	return p, nil
}
