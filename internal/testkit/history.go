package testkit

import (
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// ByItem returns a partition function for a porcupine model whose operations have inputs of
// type I. It splits a history by the item of each operation, because items are independent
// of each other.
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
