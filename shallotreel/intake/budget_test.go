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
	const budgetBytes, limit = 50 << 10, 100 << 10
	for _, test := range []struct {
		name   string
		reader io.Reader
		held   int // bytes of other messages
		want   error
		size   int
	}{
		{"nothing", bytes.NewReader(nil), 0, nil, 0},
		{"at its limit, alone beyond the budget", bytes.NewReader(make([]byte, limit)), 0, nil, limit},
		{"byte by byte", iotest.OneByteReader(bytes.NewReader(make([]byte, 9<<10))), 0, nil, 9 << 10},
		{"above its limit", bytes.NewReader(make([]byte, limit+1)), 0, ErrTooLong, 0},
		{"at its limit, with the end", iotest.DataErrReader(bytes.NewReader(make([]byte, limit))), 0, nil, limit},
		{"above its limit, with the end", iotest.DataErrReader(bytes.NewReader(make([]byte, limit+1))), 0, ErrTooLong, 0},
		{"without end", zeros{}, 0, ErrTooLong, 0},
		{"broken off", io.MultiReader(bytes.NewReader(make([]byte, 5<<10)), iotest.ErrReader(broken)), 0, broken, 0},
		{"small beside a used budget", bytes.NewReader(make([]byte, FreeBodyBytes-1)), budgetBytes, nil, FreeBodyBytes - 1},
		{"long beside a used budget", bytes.NewReader(make([]byte, FreeBodyBytes+1)), budgetBytes, ErrExhausted, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(budgetBytes)
			budget.Grow(0, test.held, 0)
			body, err := budget.ReadAll(test.reader, limit)
			if !errors.Is(err, test.want) || len(body) != test.size {
				t.Errorf("%d bytes, error %v, want %d and %v", len(body), err, test.size, test.want)
			}
			if budget.Held() != int64(test.held) {
				t.Errorf("%d bytes are still counted, want %d", budget.Held(), test.held)
			}
		})
	}
}
