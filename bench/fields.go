package main

import (
	"encoding/json"

	"shallotreel.example/bench/load"
)

// numericFields returns the numeric fields of the result by their JSON names.
func numericFields(outcome load.Result) map[string]float64 {
	data, err := json.Marshal(outcome)
	if err != nil {
		return nil
	}
	var all map[string]any
	if json.Unmarshal(data, &all) != nil {
		return nil
	}
	numbers := map[string]float64{}
	for name, value := range all {
		if number, ok := value.(float64); ok {
			numbers[name] = number
		}
	}
	return numbers
}
