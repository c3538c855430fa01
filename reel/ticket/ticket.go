package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const (
	separator = "~"
	proofSize = 16 // bytes
)

// ErrMalformed is the error that Parse returns, possibly wrapped, if the text is not a ticket.
var ErrMalformed = errors.New("malformed ticket")

// Ticket permits one run of a request, by the process that issued the ticket.
type Ticket struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
	Proof       [proofSize]byte // truncated HMAC-SHA-256 of the other fields
}

// String returns the text of the ticket, which callers send with the request and Parse reads.
func (ticket Ticket) String() string {
	return strings.Join([]string{ticket.Instance, strconv.FormatUint(ticket.Incarnation, 36),
		strconv.FormatUint(ticket.Sequence, 36), hex.EncodeToString(ticket.Proof[:])}, separator)
}

// Parse reads a ticket from its text. It returns ErrMalformed, possibly wrapped, if the text is not a ticket, and does
// not verify the proof.
func Parse(text string) (Ticket, error) {
	fields := strings.Split(text, separator)
	if len(fields) != 4 || fields[0] == "" {
		return Ticket{}, ErrMalformed
	}
	incarnation, err := strconv.ParseUint(fields[1], 36, 64)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrMalformed, "incarnation")
	}
	sequence, err := strconv.ParseUint(fields[2], 36, 64)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrMalformed, "sequence")
	}
	ticket := Ticket{Instance: fields[0], Incarnation: incarnation, Sequence: sequence}
	proof, err := hex.DecodeString(fields[3])
	if err != nil || len(proof) != proofSize {
		return Ticket{}, errors.Wrap(ErrMalformed, "proof")
	}
	copy(ticket.Proof[:], proof)
	return ticket, nil
}

// sign returns the proof for the ticket; only the issuing process has the key.
func (ticket Ticket) sign(key []byte) [proofSize]byte {
	mac := hmac.New(sha256.New, key)
	fmt.Fprint(mac, ticket.Instance, separator, ticket.Incarnation, separator, ticket.Sequence)
	var proof [proofSize]byte
	copy(proof[:], mac.Sum(nil))
	return proof
}

// signedBy reports whether the proof matches the key; the comparison takes constant time.
func (ticket Ticket) signedBy(key []byte) bool {
	proof := ticket.sign(key)
	return subtle.ConstantTimeCompare(proof[:], ticket.Proof[:]) == 1
}
