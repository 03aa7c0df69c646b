package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"
)

// option is one field of the settings: its place, form, default and meaning.
type option struct {
	path     string
	form     string
	fallback string
	required bool
	meaning  string
	set      func(s *Settings, text string) error
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// options is the one list of all fields.
var options = []option{
	{"instance", "name", "", true, "name of this instance, unique in the deployment", func(s *Settings, t string) error { return name(&s.instance, t) }},
	{"region", "name", "", true, "region of this instance", func(s *Settings, t string) error { return name(&s.region, t) }},
	{"failure-domain", "name", "", true, "failure domain of this instance", func(s *Settings, t string) error { return name(&s.failureDomain, t) }},
	{"callers.address", "ip:port", "", true, "where callers and trainers connect", func(s *Settings, t string) error { return address(&s.callersAddress, t) }},
	{"peers.address", "ip:port", "", true, "where other instances connect", func(s *Settings, t string) error { return address(&s.peersAddress, t) }},
	{"operators.address", "ip:port", "", true, "where operators and metrics scrapers connect", func(s *Settings, t string) error { return address(&s.operatorsAddress, t) }},
	{"store.address", "ip:port", "", true, "the platform's key-value service", func(s *Settings, t string) error { return address(&s.storeAddress, t) }},
	{"store.call-timeout", "duration", "500ms", false, "longest wait for one call", func(s *Settings, t string) error { return duration(&s.storeTimeout, t) }},
	{"store.calls-per-second", "number", "60", false, "budget of calls of this instance", func(s *Settings, t string) error { return number(&s.storeCalls, t, 1, 2000) }},
	{"platform.instances", "ip:port", "", true, "the platform's list of instances", func(s *Settings, t string) error { return address(&s.instancesAddress, t) }},
	{"platform.orders", "ip:port", "", false, "the platform's orders of backend servers; empty turns the duty off", func(s *Settings, t string) error { return address(&s.ordersAddress, t) }},
	{"platform.usage", "ip:port", "", false, "the platform's usage reports; empty turns the duty off", func(s *Settings, t string) error { return address(&s.usageAddress, t) }},
	{"platform.weights", "ip:port", "", false, "the weight store; empty turns the duty off", func(s *Settings, t string) error { return address(&s.weightsAddress, t) }},
	{"keys.digest-secret", "hex", "", true, "secret of the keyed hash of callers' keys, 32 to 128 digits, the same on all instances", func(s *Settings, t string) error { return secret(&s.digestSecret, t) }},
	{"data.folder", "path", "", false, "folder for sample data; empty on instances without a disk", func(s *Settings, t string) error { s.dataFolder = t; return nil }},
	{"duties.lease-ttl", "duration", "3s", false, "time without renewal after which a duty passes on", func(s *Settings, t string) error { return duration(&s.leaseTTL, t) }},
	{"duties.lease-margin", "duration", "600ms", false, "time before its end at which a holder stops acting", func(s *Settings, t string) error { return duration(&s.leaseMargin, t) }},
	{"duties.order-period", "duration", "2s", false, "time between plans of backend server orders", func(s *Settings, t string) error { return duration(&s.orderPeriod, t) }},
	{"duties.max-servers", "number", "16", false, "most backend servers ordered per service and failure domain", func(s *Settings, t string) error { return whole(&s.maxServers, t, 1, 1000) }},
	{"usage.window", "duration", "1m", false, "length of a usage window, the same on all instances", func(s *Settings, t string) error { return duration(&s.usageWindow, t) }},
	{"requests.resend-window", "duration", "10m", false, "how long an idempotency key is remembered, the same on all instances", func(s *Settings, t string) error { return duration(&s.resendWindow, t) }},
	{"callers.keep-time", "duration", "5s", false, "how long a caller may keep the list of entry instances", func(s *Settings, t string) error { return duration(&s.keepTime, t) }},
	{"drain.wait", "duration", "2m", false, "longest wait for running requests on shutdown", func(s *Settings, t string) error { return duration(&s.drainWait, t) }},
	{"log.level", "word", "info", false, "debug, info, warn or error", func(s *Settings, t string) error { return word(&s.logLevel, t, "debug", "info", "warn", "error") }},
	{"trace.file", "path", "", false, "file that spans are appended to as JSON; empty turns traces off", func(s *Settings, t string) error { s.traceFile = t; return nil }},
}

func (o option) read(s *Settings, values map[string]any) error {
	v, ok := values[o.path]
	if !ok {
		if o.required {
			return errors.New("is missing")
		}
		if o.fallback == "" {
			return nil
		}
		return o.set(s, o.fallback)
	}
	text, err := o.text(v)
	if err != nil {
		return err
	}
	if text == "" && !o.required {
		return nil
	}
	return o.set(s, text)
}

func (o option) text(v any) (string, error) {
	switch v := v.(type) {
	case string:
		if o.form == "number" {
			return "", errors.New("must be a number, not a text")
		}
		return v, nil
	case float64:
		if o.form != "number" {
			return "", fmt.Errorf("must be a text of the form %s, not a number", o.form)
		}
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	default:
		return "", fmt.Errorf("must be of the form %s", o.form)
	}
}

func name(into *string, text string) error {
	if !nameForm.MatchString(text) {
		return fmt.Errorf("%q must be lower-case letters, digits and dashes", text)
	}
	*into = text
	return nil
}

func address(into *string, text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q must be an IP number and a port, such as 10.0.0.1:8100", text)
	}
	if a.Port() == 0 {
		return fmt.Errorf("%q must name a port", text)
	}
	*into = text
	return nil
}

func duration(into *time.Duration, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return fmt.Errorf("%q must be a positive duration with its unit, such as 500ms or 10s", text)
	}
	*into = d
	return nil
}

func number(into *float64, text string, low, high float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < low || v > high {
		return fmt.Errorf("%s must be from %g to %g", text, low, high)
	}
	*into = v
	return nil
}

func whole(into *int, text string, low, high int) error {
	v, err := strconv.Atoi(text)
	if err != nil || v < low || v > high {
		return fmt.Errorf("%s must be a whole number from %d to %d", text, low, high)
	}
	*into = v
	return nil
}

func secret(into *[]byte, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) < 16 || len(raw) > 64 {
		return errors.New("must be 32 to 128 hexadecimal digits")
	}
	*into = raw
	return nil
}

func word(into *string, text string, allowed ...string) error {
	for _, w := range allowed {
		if text == w {
			*into = text
			return nil
		}
	}
	return fmt.Errorf("%q must be one of %v", text, allowed)
}
