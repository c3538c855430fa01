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
	const memoryBytes, limit = 200 << 10, 100 << 10
	for _, test := range []struct {
		name   string
		use    Use
		reader io.Reader
		held   int // bytes of other work
		want   error
		size   int
	}{
		{"nothing", Message, bytes.NewReader(nil), 0, nil, 0},
		{"at its limit, alone beyond the share of long messages", Message, bytes.NewReader(make([]byte, limit)), 0, nil, limit},
		{"byte by byte", Message, iotest.OneByteReader(bytes.NewReader(make([]byte, 9<<10))), 0, nil, 9 << 10},
		{"above its limit", Message, bytes.NewReader(make([]byte, limit+1)), 0, ErrTooLong, 0},
		{"at its limit, with the end", Message, iotest.DataErrReader(bytes.NewReader(make([]byte, limit))), 0, nil, limit},
		{"above its limit, with the end", Message, iotest.DataErrReader(bytes.NewReader(make([]byte, limit+1))), 0, ErrTooLong, 0},
		{"without end", Message, zeros{}, 0, ErrTooLong, 0},
		{"broken off", Message, io.MultiReader(bytes.NewReader(make([]byte, 5<<10)), iotest.ErrReader(broken)), 0, broken, 0},
		{"long beside used memory", Message, bytes.NewReader(make([]byte, ShortBytes+1)), memoryBytes * 3 / 4, ErrExhausted, 0},
		{"a short answer beside used memory", Answer, bytes.NewReader(make([]byte, 9<<10)), memoryBytes * 3 / 4, nil, 9 << 10},
		{"a long answer beside used memory", Answer, bytes.NewReader(make([]byte, ShortAnswerBytes+1)), memoryBytes * 3 / 4, ErrExhausted, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			memory := NewMemory(memoryBytes)
			if _, err := memory.Open(Work, test.held); err != nil {
				t.Fatal(err)
			}
			hold := memory.Hold()
			body, err := ReadAll(hold, test.use, test.reader, limit)
			if !errors.Is(err, test.want) || len(body) != test.size {
				t.Errorf("%d bytes, error %v, want %d and %v", len(body), err, test.size, test.want)
			}
			if memory.Held() != int64(test.held+test.size) {
				t.Errorf("%d bytes are counted, want %d", memory.Held(), test.held+test.size)
			}
			hold.Release()
			if memory.Held() != int64(test.held) {
				t.Errorf("%d bytes are counted in the end, want %d", memory.Held(), test.held)
			}
		})
	}
}
