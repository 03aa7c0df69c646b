// Package samplestore stores encoded samples in a bbolt database in the data folder.
package samplestore

import (
	"errors"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Class is the error class of this package. Operators know the instances that
// store samples as keepers.
var Class = errs.Class("keeper")

// fileName is the name of the database in the data folder.
const fileName = "samples.db"

// openTimeout limits the wait for a file lock held by another process.
const openTimeout = time.Second

// Store stores encoded samples by step and digest. It is safe for concurrent
// use.
type Store struct {
	db *bbolt.DB
}

// Open opens the database in a folder and creates it if needed.
func Open(folder string) (*Store, error) {
	db, err := bbolt.Open(filepath.Join(folder, fileName), 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, Class.New("the data folder is in use by another process")
	}
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return &Store{db: db}, nil
}

func (s *Store) Close() error { return Class.Wrap(s.db.Close()) }

// Put stores samples of a step by digest. They are synced to disk when Put
// returns.
func (s *Store) Put(step string, bodies map[string][]byte) error {
	return Class.Wrap(s.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte(step))
		if err != nil {
			return err
		}
		for digest, body := range bodies {
			if err := bucket.Put([]byte(digest), body); err != nil {
				return err
			}
		}
		return nil
	}))
}

// Get returns the stored samples of a step among the given digests.
func (s *Store) Get(step string, digests []string) (map[string][]byte, error) {
	bodies := map[string][]byte{}
	err := s.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket([]byte(step))
		if bucket == nil {
			return nil
		}
		for _, digest := range digests {
			if body := bucket.Get([]byte(digest)); body != nil {
				bodies[digest] = append([]byte(nil), body...)
			}
		}
		return nil
	})
	return bodies, Class.Wrap(err)
}

// DeleteStep deletes all samples of a step. It does nothing if there are none.
func (s *Store) DeleteStep(step string) error {
	err := s.db.Update(func(tx *bbolt.Tx) error { return tx.DeleteBucket([]byte(step)) })
	if errors.Is(err, bbolterrors.ErrBucketNotFound) {
		return nil
	}
	return Class.Wrap(err)
}

// Steps returns the steps with stored samples.
func (s *Store) Steps() ([]string, error) {
	var steps []string
	err := s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
			steps = append(steps, string(name))
			return nil
		})
	})
	return steps, Class.Wrap(err)
}
