package catalogue

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	maxNameBytes = 200     // of an ID, a service or a data centre
	maxSlots     = 1 << 20 // of one target
	maxSeq       = 1 << 53 // above which numbers are not exact in JSON
	// maxClockDifference is the longest time by which the clock of a target may be ahead. The start of a later process must not be
	// smaller than that of an earlier one, so that a start far in the future would hide all later reports.
	maxClockDifference = 24 * time.Hour
)

// Check returns an error that names the field if requests must not be sent to the target, since another program than a target has
// written the registration.
func (target Target) Check(now time.Time) error {
	address := target.Address.Addr()
	switch {
	case !isToken(target.ID):
		return errors.New("field id: empty, too long, or with other characters than visible ASCII")
	case target.Service == "" || len(target.Service) > maxNameBytes:
		return errors.New("field service: empty or too long")
	case len(target.DataCentre) > maxNameBytes:
		return errors.New("field data centre: too long")
	case !address.IsValid() || address.IsUnspecified() || address.IsMulticast() || target.Address.Port() == 0:
		return errors.Errorf("field address: %v is not the address of one target", target.Address)
	case target.Slots < 1 || target.Slots > maxSlots:
		return errors.Errorf("field slots: %d is not from 1 to %d", target.Slots, maxSlots)
	case target.Seq > maxSeq:
		return errors.Errorf("field seq: %d is above %d", target.Seq, uint64(maxSeq))
	case target.Born < 0 || target.Born > now.Add(maxClockDifference).UnixMilli():
		return errors.Errorf("field born: %d is not a time in the past", target.Born)
	}
	return nil
}

// isToken reports whether the text may stand in a header of a request.
func isToken(text string) bool {
	for _, char := range []byte(text) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxNameBytes
}
