// Package keeper keeps sample bodies in a file below the data folder.
package keeper

import (
	"errors"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Class prefixes the errors of this package.
var Class = errs.Class("keeper")

// fileName is the database's name below the data folder.
const fileName = "samples.db"

// openTimeout bounds the wait for another process's lock on the file.
const openTimeout = time.Second

// Keeper stores bodies by step and sample id. It is safe for several
// goroutines.
type Keeper struct {
	db *bbolt.DB
}

// Open opens or creates the database below a folder.
func Open(folder string) (*Keeper, error) {
	db, err := bbolt.Open(filepath.Join(folder, fileName), 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, Class.New("the data folder is in use by another process")
	}
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &Keeper{db: db}, nil
}

// Close closes the database.
func (k *Keeper) Close() error { return Class.Wrap(k.db.Close()) }

// Put stores the bodies of a step. They are on the disk when it returns.
func (k *Keeper) Put(step string, bodies map[string][]byte) error {
	return Class.Wrap(k.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte(step))
		if err != nil {
			return err
		}
		for id, body := range bodies {
			if err := bucket.Put([]byte(id), body); err != nil {
				return err
			}
		}
		return nil
	}))
}

// Get returns the bodies of a step that are here, by id.
func (k *Keeper) Get(step string, ids []string) (map[string][]byte, error) {
	found := map[string][]byte{}
	err := k.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(step))
		if bucket == nil {
			return nil
		}
		for _, id := range ids {
			if body := bucket.Get([]byte(id)); body != nil {
				found[id] = append([]byte(nil), body...)
			}
		}
		return nil
	})
	return found, Class.Wrap(err)
}

// Drop forgets a step.
func (k *Keeper) Drop(step string) error {
	err := k.db.Update(func(tx *bbolt.Tx) error { return tx.DeleteBucket([]byte(step)) })
	if errors.Is(err, bbolterrors.ErrBucketNotFound) {
		return nil
	}
	return Class.Wrap(err)
}

// Steps returns the steps that are kept.
func (k *Keeper) Steps() ([]string, error) {
	var steps []string
	err := k.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
			steps = append(steps, string(name))
			return nil
		})
	})
	return steps, Class.Wrap(err)
}
