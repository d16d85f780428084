package entry

// NewTurns returns the positions that split routes use.
func NewTurns() func(route string) float64 {
	t := &turns{}
	return t.next
}
