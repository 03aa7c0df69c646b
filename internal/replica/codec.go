package replica

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"cactusspoke/internal/kv"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("replica")

const (
	// protocolVersion is the version of the messages between instances. Messages of
	// another version are refused.
	protocolVersion = 1
	// maxMessageBytes bounds a message, before and after it is unpacked.
	maxMessageBytes = 16 << 20
	// minPackedBytes is the size from which messages are compressed.
	minPackedBytes = 4 << 10
)

// update is the answer of a relay to a poll.
type update struct {
	// incarnation identifies one run of the relay's process, since sequence numbers
	// start again with each.
	incarnation string
	// age is the time since the relay last reached the store.
	age    time.Duration
	tables []Changes
}

type wireUpdate struct {
	Protocol    int         `json:"protocol"`
	Incarnation string      `json:"incarnation"`
	AgeMS       int64       `json:"age-ms"`
	Tables      []wireTable `json:"tables"`
}

type wireTable struct {
	Complete bool       `json:"complete,omitempty"`
	Sequence int64      `json:"sequence"`
	At       int64      `json:"at"`
	Items    []wireItem `json:"items,omitempty"`
}

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// encodeUpdate returns a message and whether it is compressed.
func encodeUpdate(u update) (data []byte, packed bool, err error) {
	w := wireUpdate{Protocol: protocolVersion, Incarnation: u.incarnation, AgeMS: u.age.Milliseconds()}
	for _, c := range u.tables {
		table := wireTable{Complete: c.Complete, Sequence: c.Sequence, At: int64(c.At)}
		for _, item := range c.Items {
			table.Items = append(table.Items, wireItem{item.Key, item.Value, int64(item.Revision), item.Deleted})
		}
		w.Tables = append(w.Tables, table)
	}
	data, err = json.Marshal(w)
	if err != nil || len(data) < minPackedBytes {
		return data, false, Class.Wrap(err)
	}
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if _, err := zip.Write(data); err != nil {
		return nil, false, Class.Wrap(err)
	}
	if err := zip.Close(); err != nil {
		return nil, false, Class.Wrap(err)
	}
	return out.Bytes(), true, nil
}

// decodeUpdate decodes a message of a relay for a number of tables.
func decodeUpdate(data []byte, packed bool, tables int) (update, error) {
	if packed {
		zip, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return update{}, Class.Wrap(err)
		}
		data, err = io.ReadAll(io.LimitReader(zip, maxMessageBytes+1))
		if err != nil {
			return update{}, Class.Wrap(err)
		}
		if len(data) > maxMessageBytes {
			return update{}, Class.New("message is longer than %d bytes", maxMessageBytes)
		}
	}
	var w wireUpdate
	if err := json.Unmarshal(data, &w); err != nil {
		return update{}, Class.Wrap(err)
	}
	switch {
	case w.Protocol != protocolVersion:
		return update{}, Class.New("message has protocol version %d instead of %d", w.Protocol, protocolVersion)
	case len(w.Tables) != tables:
		return update{}, Class.New("message has %d tables instead of %d", len(w.Tables), tables)
	}
	out := update{incarnation: w.Incarnation, age: time.Duration(w.AgeMS) * time.Millisecond}
	for _, table := range w.Tables {
		c := Changes{Complete: table.Complete, Sequence: table.Sequence, At: kv.Revision(table.At)}
		for _, item := range table.Items {
			c.Items = append(c.Items, kv.Item{Key: item.Key, Value: item.Value, Revision: kv.Revision(item.Revision), Deleted: item.Deleted})
		}
		out.tables = append(out.tables, c)
	}
	return out, nil
}
