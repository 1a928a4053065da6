package table

import "fmt"

// ValidationError is an error in a routing table.
type ValidationError struct {
	Subject string
	Problem string
	Remedy  string
}

// Error names the place, the fault and the remedy.
func (f *ValidationError) Error() string {
	return fmt.Sprintf("%s %s; %s", f.Subject, f.Problem, f.Remedy)
}
