// Package hostile holds tests that start the program as a process and act as clients that
// exceed the limits of requests, never finish a request, or never read a response. The
// tests measure the resident memory and the open descriptors of the process, so they must
// run one at a time and beside no other load; the Makefile runs this package after the
// others.
package hostile
