package document

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Format is the version of the document format that this package reads.
const Format = 1

// MaxSize is the size in bytes of the largest document that the platform's service stores.
const MaxSize = 1 << 20

// MaxActivationDelay is the longest time from the publication of a document to the instant in its InForceAt.
const MaxActivationDelay = 3 * time.Second

// Operation is what the requests of a kind do at the targets of their source.
type Operation string

// Operations of request kinds.
const (
	Search Operation = "search" // runs on all shards; the hits are merged
	Fetch  Operation = "fetch"  // runs on the shard that owns the key of the request
	Record Operation = "record" // like Fetch, but changes data and must not run twice
)

// Rule states whether slow shards reduce the coverage of the requests of a kind or raise their latency.
type Rule string

// Rules of request kinds.
const (
	Tail     Rule = "tail"     // limits the tail latency: answers without the slow shards after Kind.Patience
	Coverage Rule = "coverage" // keeps full coverage: waits for the slow shards until Kind.Deadline
)

// Document is one revision of the configuration.
type Document struct {
	Format        int       `json:"format" validate:"eq=1"`
	Revision      uint64    `json:"revision" validate:"min=1"`
	PublishedAt   time.Time `json:"published_at" validate:"required"`
	InForceAt     time.Time `json:"in_force_at,omitzero"` // when the instances switch to the revision, if set
	Deployment    string    `json:"deployment" validate:"required,max=64"`
	DataCentres   []string  `json:"data_centres" validate:"min=1,unique,dive,required"`
	Sources       []Source  `json:"sources" validate:"min=1,unique=Name,dive"`
	Kinds         []Kind    `json:"kinds" validate:"min=1,unique=Name,dive"`
	Events        []Event   `json:"events" validate:"unique=Name,dive"`
	Presets       []Preset  `json:"presets" validate:"min=1,unique=Name,dive"`
	PresetInForce string    `json:"preset_in_force" validate:"required"`
	// PresetRevision is the revision that last changed the preset in force, or 0 if it is not given.
	PresetRevision uint64 `json:"preset_revision,omitempty" validate:"ltefield=Revision"`

	digest string
}

// Source is a set of shards that are searched together, with the limits of each target.
type Source struct {
	Name        string   `json:"name" validate:"required,max=64"`
	Slots       int      `json:"slots" validate:"min=1,max=1024"`
	Connections int      `json:"connections" validate:"min=2,max=4096"`
	ConnectCost Duration `json:"connect_cost" validate:"min=0"`
}

// Kind is a class of requests with a common source, weight, deadline and rule.
type Kind struct {
	Name       string    `json:"name" validate:"required,max=64"`
	Source     string    `json:"source" validate:"required"`
	Operation  Operation `json:"operation" validate:"oneof=search fetch record"`
	Weight     float64   `json:"weight" validate:"gt=0,lte=1000"`
	Deadline   Duration  `json:"deadline" validate:"gt=0"`
	Rule       Rule      `json:"rule" validate:"oneof=tail coverage"`
	Patience   Duration  `json:"patience,omitzero" validate:"min=0"` // delay after which rule tail omits slow shards
	Repeatable bool      `json:"repeatable"`                         // whether a request may run more than once
}

// Event is a scheduled event with the sources it searches and the people it serves.
type Event struct {
	Name    string    `json:"name" validate:"required,max=64"`
	Start   time.Time `json:"start" validate:"required"`
	Sources []string  `json:"sources" validate:"min=1,unique"`
	People  []string  `json:"people" validate:"min=1,unique"`
}

// Preset is a named set of limits, such as those for ordinary days, peaks or maintenance.
type Preset struct {
	Name          string   `json:"name" validate:"required,max=64"`
	HedgeQuantile float64  `json:"hedge_quantile" validate:"gt=0,lt=1"`
	ExtraLoad     float64  `json:"extra_load" validate:"gte=0,lte=1"`
	QueuePerSlot  float64  `json:"queue_per_slot" validate:"gte=0,lte=64"`
	SlotFraction  float64  `json:"slot_fraction" validate:"gt=0,lte=1"`
	Canary        bool     `json:"canary"`
	RetryAfter    Duration `json:"retry_after" validate:"gt=0"`
	AddressKeep   Duration `json:"address_keep" validate:"gt=0"`
}

// Digest returns the xxHash64 of the bytes that the document was parsed from, as 16 hexadecimal digits.
func (document *Document) Digest() string {
	return document.digest
}

// Kind returns the named request kind, or false if there is none.
func (document *Document) Kind(name string) (Kind, bool) {
	return find(document.Kinds, func(kind Kind) bool { return kind.Name == name })
}

// Source returns the named source, or false if there is none.
func (document *Document) Source(name string) (Source, bool) {
	return find(document.Sources, func(source Source) bool { return source.Name == name })
}

// Event returns the named event, or false if there is none.
func (document *Document) Event(name string) (Event, bool) {
	return find(document.Events, func(event Event) bool { return event.Name == name })
}

// Preset returns the preset named by PresetInForce.
func (document *Document) Preset() Preset {
	preset, _ := find(document.Presets, func(preset Preset) bool {
		return preset.Name == document.PresetInForce
	})
	return preset
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, item := range items {
		if match(item) {
			return item, true
		}
	}
	var zero T
	return zero, false
}

func digestOf(data []byte) string {
	var sum [8]byte
	hash := xxhash.Sum64(data)
	for i := range sum {
		sum[i] = byte(hash >> (56 - 8*i))
	}
	return hex.EncodeToString(sum[:])
}

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (duration Duration) Std() time.Duration {
	return time.Duration(duration)
}

// MarshalText encodes the duration in the format of time.Duration.String.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText decodes a duration in the format of time.ParseDuration; every number but 0 needs a unit.
func (duration *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(value)
	return nil
}
