package settings

import (
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
)

// Role is one of the two things that an instance can do.
type Role string

// Duties of an instance.
const (
	Entry  Role = "entry"
	Holder Role = "holder"
)

// Settings is the content of a process's settings file.
type Settings struct {
	Name            string           `json:"name" validate:"required,max=64,excludesall=~"`
	DataCentre      string           `json:"data_centre" validate:"required,max=64"`
	CallerAddress   netip.AddrPort   `json:"caller_address" validate:"required"`
	PeerAddress     netip.AddrPort   `json:"peer_address" validate:"required"`
	PlatformAddress netip.AddrPort   `json:"platform_address" validate:"required"`
	Seeds           []netip.AddrPort `json:"seeds,omitempty"`
	Roles           []Role           `json:"duties,omitempty" validate:"unique,dive,oneof=entry holder"`
	LogLevel        string           `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warning error"`
	DecisionEvery   int              `json:"decision_every,omitempty" validate:"min=0"`
	AllowCut        bool             `json:"allow_cut,omitempty"`
	AllowProfile    bool             `json:"allow_profile,omitempty"`
}

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads and checks settings.
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

// HasRole reports whether the instance has the duty.
func (settings Settings) HasRole(duty Role) bool {
	for _, own := range settings.Roles {
		if own == duty {
			return true
		}
	}
	return false
}
