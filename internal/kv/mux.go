package kv

import "strings"

// Mux passes the changes of one watched prefix on to views of longer ones.
type Mux struct {
	parts []muxPart
}

type muxPart struct {
	prefix string
	view   View
}

// NewMux returns a mux without views.
func NewMux() *Mux { return &Mux{} }

// Add passes keys with a prefix on to a view.
func (m *Mux) Add(prefix string, view View) *Mux {
	m.parts = append(m.parts, muxPart{prefix, view})
	return m
}

// Reset splits the items among the views.
func (m *Mux) Reset(items []Item) {
	for _, p := range m.parts {
		p.view.Reset(withPrefix(items, p.prefix))
	}
}

// Apply splits the events among the views.
func (m *Mux) Apply(events []Item) {
	for _, p := range m.parts {
		if own := withPrefix(events, p.prefix); len(own) > 0 {
			p.view.Apply(own)
		}
	}
}

// Reachable tells every view.
func (m *Mux) Reachable(ok bool) {
	for _, p := range m.parts {
		p.view.Reachable(ok)
	}
}

func withPrefix(items []Item, prefix string) []Item {
	var out []Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

// Tee returns a view that passes everything on to several views.
func Tee(views ...View) View {
	m := NewMux()
	for _, v := range views {
		m.Add("", v)
	}
	return m
}
