package settings

import (
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
)

// Role is a function that an instance performs in the fleet.
type Role string

// Roles of an instance.
const (
	Entry  Role = "entry"  // accepts requests from callers
	Holder Role = "holder" // sends requests to the targets that are assigned to it
)

// Settings is the content of the settings file of an instance that runs package
// instance.
type Settings struct {
	Name                string           `json:"name" validate:"required,max=64,excludesall=~"`
	DataCentre          string           `json:"data_centre" validate:"required,max=64"`
	CallerAddress       netip.AddrPort   `json:"caller_address" validate:"required"`
	PeerAddress         netip.AddrPort   `json:"peer_address" validate:"required"`
	PlatformAddress     netip.AddrPort   `json:"platform_address" validate:"required"`
	Seeds               []netip.AddrPort `json:"seeds,omitempty"`
	Roles               []Role           `json:"duties,omitempty" validate:"unique,dive,oneof=entry holder"`
	LogLevel            string           `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warning error"`
	DecisionLogInterval int              `json:"decision_every,omitempty" validate:"min=0"` // one of this many sampled decisions is logged; 0 disables them
	AllowCut            bool             `json:"allow_cut,omitempty"`                       // enables the endpoint that simulates a network partition
	AllowProfile        bool             `json:"allow_profile,omitempty"`                   // enables the profiling endpoints
}

// Read reads and validates the settings file at the path. It returns the errors of
// Parse, or an error if the file cannot be read.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes JSON settings, validates them and sets the defaults. It returns a
// *document.FieldError for an unknown or invalid field. Without roles, the instance has
// all of them.
func Parse(data []byte) (Settings, error) {
	settings := Settings{LogLevel: "info"}
	if err := document.DecodeStrict(data, &settings); err != nil {
		return Settings{}, err
	}
	if err := document.CheckFields(settings); err != nil {
		return Settings{}, err
	}
	if len(settings.Roles) == 0 {
		settings.Roles = []Role{Entry, Holder}
	}
	return settings, nil
}

// HasRole reports whether the instance has the role.
func (settings Settings) HasRole(role Role) bool {
	for _, own := range settings.Roles {
		if own == role {
			return true
		}
	}
	return false
}
