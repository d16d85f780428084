package entry

// NewSplitPositions returns the function that yields the positions of requests of split routes.
func NewSplitPositions() func(route string) float64 {
	p := &splitPositions{}
	return p.next
}
