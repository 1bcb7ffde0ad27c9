package testkit

import (
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// ByItem splits a history of operations with inputs I by the item that each
// concerns: items do not depend on each other.
func ByItem[I any](item func(I) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(h []porcupine.Operation) [][]porcupine.Operation {
		items := map[string][]porcupine.Operation{}
		for _, o := range h {
			id := item(o.Input.(I))
			items[id] = append(items[id], o)
		}
		return slices.Collect(maps.Values(items))
	}
}
