// Package e2e contains end-to-end tests that run the programs as separate processes.
package e2e
