// Package e2e holds the tests that start the real programs as processes.
package e2e
