package settings

import (
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
)

// Front is the settings of an instance that serves callers on the users' platform.
type Front struct {
	Name           string            `json:"name" validate:"required,max=64"`
	DataCentre     string            `json:"data_centre" validate:"required,max=64"`
	CallerAddress  netip.AddrPort    `json:"caller_address" validate:"required"`
	ReadyAddress   netip.AddrPort    `json:"ready_address" validate:"required"`
	ResolveAddress netip.AddrPort    `json:"resolve_address" validate:"required"`
	PeerAddress    netip.AddrPort    `json:"peer_address" validate:"required"`
	MetricsAddress netip.AddrPort    `json:"metrics_address" validate:"required"`
	StoreAddress   netip.AddrPort    `json:"store_address" validate:"required"`
	Seeds          []netip.AddrPort  `json:"seeds"`
	Grace          document.Duration `json:"grace" validate:"gt=0"`
	KeepMost       document.Duration `json:"keep_most" validate:"gt=0"` // for which callers keep an address at most
	Extra          Extra             `json:"extra"`
	LogLevel       string            `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// Extra is the bound on arrivals at targets beyond the first of each request.
type Extra struct {
	Ratio  float64           `json:"ratio" validate:"min=0,max=10"`
	Window document.Duration `json:"window" validate:"gt=0"`
	Slack  float64           `json:"slack" validate:"min=0"`
}

// ReadFront reads and checks a settings file.
func ReadFront(path string) (Front, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Front{}, errors.Wrap(err, "read settings")
	}
	return ParseFront(data)
}

// ParseFront reads and checks settings.
func ParseFront(data []byte) (Front, error) {
	front := Front{LogLevel: "info"}
	if err := document.DecodeStrict(data, &front); err != nil {
		return Front{}, err
	}
	return front, document.CheckFields(front)
}
