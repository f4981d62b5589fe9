package quarantine

// generations is a map that holds at least the last size keys that were added. It has two generations and is not safe
// for concurrent use.
type generations[K comparable, V any] struct {
	size int // keys in a full generation
	// current is the generation to which keys are added, previous the full one before it.
	current, previous map[K]V
}

func newGenerations[K comparable, V any](size int) generations[K, V] {
	return generations[K, V]{size: size, current: make(map[K]V)}
}

// put sets the value of a key in the current generation. If that is full, it first becomes the previous one, and the
// generation before it is discarded.
func (g *generations[K, V]) put(key K, value V) {
	if len(g.current) >= g.size {
		g.current, g.previous = make(map[K]V), g.current
	}
	g.current[key] = value
}

// get returns the value of a key; ok is false if neither generation holds it.
func (g *generations[K, V]) get(key K) (value V, ok bool) {
	if value, ok = g.current[key]; ok {
		return value, true
	}
	value, ok = g.previous[key]
	return value, ok
}
