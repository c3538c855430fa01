package settings

import (
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
	"shallotreel.example/reel/extra"
)

// Front is the content of the settings file of an instance that runs package front.
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
	Grace          document.Duration `json:"grace" validate:"gt=0"`     // maximum duration of a graceful stop
	MaxAddressTTL  document.Duration `json:"keep_most" validate:"gt=0"` // upper limit on the time for which callers keep an address
	Extra          Extra             `json:"extra"`
	Processor      float64           `json:"processor,omitempty" validate:"min=0,max=1024"`                      // share of this process in cores, 0 if unknown
	MemoryMB       int               `json:"memory_mb,omitempty" validate:"omitempty,min=64,max=1048576"`        // limit of this process in MiB, 0 if unknown
	MaxDescriptors int               `json:"max_descriptors,omitempty" validate:"omitempty,min=128,max=1048576"` // limit of this process, 0 if only the system's is known
	LogLevel       string            `json:"log_level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// Extra is the limit on extra attempts, which are those after the first of each
// request: hedges and retries. See extra.Limits.
type Extra struct {
	Ratio  float64           `json:"ratio" validate:"min=0,max=10"`
	Window document.Duration `json:"window" validate:"gt=0"`
	Slack  float64           `json:"slack" validate:"min=0"`
}

// Limits converts the settings to the limits of package extra.
func (extraSettings Extra) Limits() extra.Limits {
	return extra.Limits{Ratio: extraSettings.Ratio, Window: extraSettings.Window.Std(), Slack: extraSettings.Slack}
}

// FieldsNeedingRestart returns the names of the fields that differ from the running
// settings and cannot change while the process runs.
func (front Front) FieldsNeedingRestart(running Front) []string {
	var fields []string
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", front.Name == running.Name},
		{"data_centre", front.DataCentre == running.DataCentre},
		{"caller_address", front.CallerAddress == running.CallerAddress},
		{"ready_address", front.ReadyAddress == running.ReadyAddress},
		{"resolve_address", front.ResolveAddress == running.ResolveAddress},
		{"peer_address", front.PeerAddress == running.PeerAddress},
		{"metrics_address", front.MetricsAddress == running.MetricsAddress},
		{"store_address", front.StoreAddress == running.StoreAddress},
		{"processor", front.Processor == running.Processor},
		{"memory_mb", front.MemoryMB == running.MemoryMB},
		{"max_descriptors", front.MaxDescriptors == running.MaxDescriptors},
		{"log_level", front.LogLevel == running.LogLevel},
	} {
		if !field.same {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// ReadFront reads and validates the settings file at the path. It returns the errors of
// ParseFront, or an error if the file cannot be read.
func ReadFront(path string) (Front, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Front{}, errors.Wrap(err, "read settings")
	}
	return ParseFront(data)
}

// ParseFront decodes JSON settings and validates them. It returns a
// *document.FieldError for an unknown or invalid field.
func ParseFront(data []byte) (Front, error) {
	front := Front{LogLevel: "info"}
	if err := document.DecodeStrict(data, &front); err != nil {
		return Front{}, err
	}
	return front, document.CheckFields(front)
}
