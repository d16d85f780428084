package agreement

import (
	"context"
	"sync"
)

// decision is one decided register.
type decision struct {
	prefix string
	index  uint64
	value  []byte
}

// watchers passes decisions to callbacks, in one goroutine and in the order of their arrival.
type watchers struct {
	mu        sync.Mutex
	callbacks map[string][]func(index uint64, value []byte)
	queue     []delivery
	ready     chan struct{}
}

type delivery struct {
	decision
	callbacks []func(index uint64, value []byte)
}

func (w *watchers) readySignal() chan struct{} {
	if w.ready == nil {
		w.ready = make(chan struct{}, 1)
	}
	return w.ready
}

func (w *watchers) enqueue(d delivery) {
	w.queue = append(w.queue, d)
	select {
	case w.readySignal() <- struct{}{}:
	default:
	}
}

// notify queues a decision for the callbacks. It must not block, since the replica holds r.mu.
func (w *watchers) notify(prefix string, index uint64, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if callbacks := w.callbacks[prefix]; len(callbacks) > 0 {
		w.enqueue(delivery{decision{prefix, index, value}, callbacks})
	}
}

// addCallback registers the callback and queues the existing decisions for it.
func (w *watchers) addCallback(prefix string, callback func(uint64, []byte), existing []decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callbacks == nil {
		w.callbacks = map[string][]func(uint64, []byte){}
	}
	known := w.callbacks[prefix]
	w.callbacks[prefix] = append(known[:len(known):len(known)], callback)
	for _, d := range existing {
		w.enqueue(delivery{d, []func(uint64, []byte){callback}})
	}
}

func (w *watchers) run(ctx context.Context) {
	w.mu.Lock()
	ready := w.readySignal()
	w.mu.Unlock()
	for {
		w.mu.Lock()
		batch := w.queue
		w.queue = nil
		w.mu.Unlock()
		for _, d := range batch {
			for _, callback := range d.callbacks {
				callback(d.index, d.value)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ready:
		}
	}
}

// Watch calls the callback for each decided register of the chain that this replica knows now or learns
// later, each once per run of the process. Registers may arrive out of order and with gaps: a replica that
// missed decisions learns them only when a proposer reads the chain. Callbacks run in one goroutine of Run
// and must not block for long.
func (r *Replica) Watch(prefix string, callback func(index uint64, value []byte)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var existing []decision
	if c := r.store.chains[prefix]; c != nil {
		for _, state := range c.registers {
			if state.decided {
				existing = append(existing, decision{prefix, state.index, state.value})
			}
		}
	}
	r.watchers.addCallback(prefix, callback, existing)
}
