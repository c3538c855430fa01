package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// FieldError describes an invalid field of a document or settings file, its value and how to correct it.
type FieldError struct {
	Field  string
	Value  string
	Remedy string
}

// Error returns the field, the value and the remedy in one line.
func (err *FieldError) Error() string {
	return fmt.Sprintf("field %s: value %s: %s", err.Field, err.Value, err.Remedy)
}

var validate = newValidator()

func newValidator() *validator.Validate {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return check
}

// Parse decodes and validates a document; unknown fields are an error. Its errors are of type *FieldError unless the
// validator itself fails.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, &FieldError{"(document)", fmt.Sprintf("%d bytes", len(data)),
			fmt.Sprintf("publish at most %d bytes", MaxSize)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	document := &Document{}
	if err := decoder.Decode(document); err != nil {
		return nil, decodeError(err)
	}
	if decoder.More() {
		return nil, &FieldError{"(document)", "more than one JSON value", "publish one JSON object"}
	}
	if err := document.Check(); err != nil {
		return nil, err
	}
	document.digest = digestOf(data)
	return document, nil
}

// Check validates the document. The result depends on the document alone, so that all instances agree on it.
func (document *Document) Check() error {
	if err := CheckFields(document); err != nil {
		return err
	}
	checks := []func() *FieldError{
		document.checkTimes, document.checkKinds, document.checkEvents, document.checkPresets,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// CheckFields validates a struct by its validate tags and returns a *FieldError for the first invalid field.
func CheckFields(settings any) error {
	err := validate.Struct(settings)
	if err == nil {
		return nil
	}
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return errors.Wrap(err, "check fields")
	}
	first := fieldErrors[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	remedy := first.Tag()
	if first.Param() != "" {
		remedy += "=" + first.Param()
	}
	return &FieldError{path, fmt.Sprintf("%v", first.Value()), "must satisfy " + remedy}
}

// DecodeStrict decodes JSON settings into value; unknown fields are an error. Its errors are of type *FieldError.
func DecodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return decodeError(err)
	}
	return nil
}

// decodeError converts an error of the JSON decoder into a *FieldError with a remedy.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{typeError.Field, typeError.Value, "must be " + typeError.Type.String()}
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return &FieldError{strings.Trim(name, `"`), "(not decoded)", "remove this unknown field or correct its name"}
	}
	if strings.Contains(err.Error(), "time: ") {
		return &FieldError{"(duration or time)", err.Error(),
			`write durations like "250ms" and instants like "2026-12-03T12:00:00Z"`}
	}
	return &FieldError{"(document)", err.Error(), "publish valid JSON"}
}

func (document *Document) checkTimes() *FieldError {
	if document.InForceAt.IsZero() {
		return nil
	}
	lead := document.InForceAt.Sub(document.PublishedAt)
	if lead < 0 || lead > MaxActivationDelay {
		return &FieldError{"in_force_at", document.InForceAt.String(),
			fmt.Sprintf("set it at most %v after published_at", MaxActivationDelay)}
	}
	return nil
}

func (document *Document) checkKinds() *FieldError {
	for i, kind := range document.Kinds {
		field := fmt.Sprintf("kinds[%d].", i)
		if _, ok := document.Source(kind.Source); !ok {
			return &FieldError{field + "source", kind.Source, "name a source of this document"}
		}
		if kind.Operation == Record && kind.Repeatable {
			return &FieldError{field + "repeatable", "true", "set false for operation record"}
		}
		if kind.Rule == Tail && (kind.Patience <= 0 || kind.Patience > kind.Deadline) {
			return &FieldError{field + "patience", kind.Patience.Std().String(),
				"set it above 0 and at most the deadline for rule tail"}
		}
	}
	return nil
}

func (document *Document) checkEvents() *FieldError {
	for i, event := range document.Events {
		field := fmt.Sprintf("events[%d].", i)
		if !event.Start.After(document.PublishedAt) {
			return &FieldError{field + "start", event.Start.String(),
				"the event is in the past, set a start after published_at"}
		}
		for j, name := range event.Sources {
			if _, ok := document.Source(name); !ok {
				return &FieldError{fmt.Sprintf("%ssources[%d]", field, j), name,
					"name a source of this document"}
			}
		}
	}
	return nil
}

func (document *Document) checkPresets() *FieldError {
	exists := slices.ContainsFunc(document.Presets, func(preset Preset) bool {
		return preset.Name == document.PresetInForce
	})
	if !exists {
		return &FieldError{"preset_in_force", document.PresetInForce,
			"name a preset of this document"}
	}
	return nil
}
