package itest_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/hickoryshelf/hickoryshelf/itest"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "hickoryshelf-proof")
	if err == nil {
		binary, err = itest.Build(d)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r := m.Run()
	_ = os.RemoveAll(d)
	os.Exit(r)
}
