package lines

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestLinesUpToTheLimitAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		line string
		err  error
	}{
		"short":                    {"ab\ncd\n", "ab\n", nil},
		"of the limit":             {strings.Repeat("x", 99) + "\n", strings.Repeat("x", 99) + "\n", nil},
		"over the limit":           {strings.Repeat("x", 100) + "\n", "", ErrTooLong},
		"without end":              {strings.Repeat("x", 5000), "", ErrTooLong},
		"broken off":               {"ab", "ab", io.EOF},
		"nothing":                  {"", "", io.EOF},
		"of the limit, no end":     {strings.Repeat("x", 100), strings.Repeat("x", 100), io.EOF},
		"longer than the buffer":   {strings.Repeat("x", 50) + "\n", strings.Repeat("x", 50) + "\n", nil},
		"empty, before other ones": {"\nab\n", "\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			line, err := Read(bufio.NewReaderSize(strings.NewReader(c.text), 16), 100)
			assert.Assert(t, errors.Is(err, c.err) || err == nil && c.err == nil, "%v", err)
			assert.Equal(t, string(line), c.line)
		})
	}
}
