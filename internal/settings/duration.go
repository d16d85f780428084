package settings

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span written as a string with a unit, such as "500ms", "5s" or "24h".
type Duration time.Duration

// D returns the value for use with package time.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// UnmarshalJSON parses the string form. A number without a unit is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration %s has no unit; write a string such as \"500ms\" or \"5s\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q is not understood; write a number with a unit of ms, s, m or h, such as \"500ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the string form.
func (d Duration) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(time.Duration(d).String())
	return text, errors.WithStack(err)
}
