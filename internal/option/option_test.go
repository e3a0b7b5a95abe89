package option

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDefaultsReplaceOnlyUnsetValues(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ given, byDefault, positive time.Duration }{
		{0, time.Second, time.Second},
		{time.Minute, time.Minute, time.Minute},
		{-time.Minute, -time.Minute, time.Second},
	} {
		field := test.given
		Default(&field, time.Second)
		c.Check(field, qt.Equals, test.byDefault)
		field = test.given
		Positive(&field, time.Second)
		c.Check(field, qt.Equals, test.positive)
	}
}
