package table

import "fmt"

// ValidationError describes what is wrong with a routing table and how to correct it.
type ValidationError struct {
	Subject string
	Problem string
	Remedy  string
}

// Error returns the subject, the problem and the remedy.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s %s; %s", e.Subject, e.Problem, e.Remedy)
}
