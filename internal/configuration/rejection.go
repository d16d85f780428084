package configuration

import "fmt"

// Rejection explains why a change or a document is invalid. It is an error whose message ends
// with the remedy.
type Rejection struct {
	// Field is the path of the invalid field, such as "service.slot_limit"; empty for the whole document.
	Field  string
	Reason string
	Remedy string
}

// Error returns field, reason and remedy on one line.
func (r *Rejection) Error() string {
	if r.Field == "" {
		return r.Reason + "; " + r.Remedy
	}
	return fmt.Sprintf("%s: %s; %s", r.Field, r.Reason, r.Remedy)
}

func reject(field, remedy, reason string, args ...any) *Rejection {
	return &Rejection{Field: field, Reason: fmt.Sprintf(reason, args...), Remedy: remedy}
}
