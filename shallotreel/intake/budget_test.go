package intake

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
)

// zeros is a reader without an end.
type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }

func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name   string
		reader io.Reader
		held   int // bytes of other messages
		want   error
		size   int
	}{
		{"nothing", bytes.NewReader(nil), 0, nil, 0},
		{"at the limit", bytes.NewReader(make([]byte, 100<<10)), 0, nil, 100 << 10},
		{"byte by byte", iotest.OneByteReader(bytes.NewReader(make([]byte, 9<<10))), 0, nil, 9 << 10},
		{"above the limit", bytes.NewReader(make([]byte, 100<<10+1)), 0, ErrTooLong, 0},
		{"without end", zeros{}, 0, ErrTooLong, 0},
		{"broken off", io.MultiReader(bytes.NewReader(make([]byte, 5<<10)), iotest.ErrReader(broken)), 0, broken, 0},
		{"small beside a used budget", bytes.NewReader(make([]byte, FreeBodyBytes-1)), 1 << 20, nil, FreeBodyBytes - 1},
		{"long beside a used budget", bytes.NewReader(make([]byte, FreeBodyBytes+1)), 1 << 20, ErrExhausted, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(1 << 20)
			budget.Grow(0, test.held, 0)
			body, err := budget.ReadAll(test.reader, 100<<10)
			if !errors.Is(err, test.want) || len(body) != test.size {
				t.Errorf("%d bytes, error %v, want %d and %v", len(body), err, test.size, test.want)
			}
			if budget.Held() != int64(test.held) {
				t.Errorf("%d bytes are still counted, want %d", budget.Held(), test.held)
			}
		})
	}
}
