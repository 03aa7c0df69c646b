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

// option describes one settings field: its JSON path, value type, default and
// description, and how to parse it.
type option struct {
	path         string
	valueType    string
	defaultValue string
	required     bool
	description  string
	parse        func(s *Settings, text string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// options lists all settings fields. Parse and Describe are driven by it.
var options = []option{
	{"instance", "name", "", true, "name of this instance, unique in the deployment", func(s *Settings, t string) error { return parseName(&s.instance, t) }},
	{"region", "name", "", true, "region of this instance", func(s *Settings, t string) error { return parseName(&s.region, t) }},
	{"failure-domain", "name", "", true, "failure domain of this instance", func(s *Settings, t string) error { return parseName(&s.failureDomain, t) }},
	{"callers.address", "ip:port", "", true, "where callers and trainers connect", func(s *Settings, t string) error { return parseAddress(&s.callersAddress, t) }},
	{"peers.address", "ip:port", "", true, "where other instances connect", func(s *Settings, t string) error { return parseAddress(&s.peersAddress, t) }},
	{"operators.address", "ip:port", "", true, "where operators and metrics scrapers connect", func(s *Settings, t string) error { return parseAddress(&s.operatorsAddress, t) }},
	{"store.address", "ip:port", "", true, "the platform's key-value service", func(s *Settings, t string) error { return parseAddress(&s.storeAddress, t) }},
	{"store.call-timeout", "duration", "500ms", false, "timeout of one call to the store", func(s *Settings, t string) error { return parseDuration(&s.storeTimeout, t) }},
	{"store.calls-per-second", "number", "60", false, "rate limit for this instance's calls to the store", func(s *Settings, t string) error { return parseNumber(&s.storeCalls, t, 1, 2000) }},
	{"platform.instances", "ip:port", "", true, "the platform's list of instances", func(s *Settings, t string) error { return parseAddress(&s.instancesAddress, t) }},
	{"platform.orders", "ip:port", "", false, "the platform's interface for ordering backend servers; empty disables the duty", func(s *Settings, t string) error { return parseAddress(&s.ordersAddress, t) }},
	{"platform.usage", "ip:port", "", false, "the platform's interface for usage reports; empty disables the duty", func(s *Settings, t string) error { return parseAddress(&s.usageAddress, t) }},
	{"platform.weights", "ip:port", "", false, "the weight store; empty disables the duty", func(s *Settings, t string) error { return parseAddress(&s.weightsAddress, t) }},
	{"keys.digest-secret", "hex", "", true, "secret of the keyed hash of callers' keys, 32 to 128 digits, the same on all instances", func(s *Settings, t string) error { return parseSecret(&s.digestSecret, t) }},
	{"data.folder", "path", "", false, "folder for sample data; empty on instances without a disk", func(s *Settings, t string) error { s.dataFolder = t; return nil }},
	{"duties.lease-ttl", "duration", "3s", false, "lifetime of a duty's lease without renewal; after it another instance can take over", func(s *Settings, t string) error { return parseDuration(&s.leaseTTL, t) }},
	{"duties.lease-margin", "duration", "600ms", false, "time before the lease expires at which its holder stops acting", func(s *Settings, t string) error { return parseDuration(&s.leaseMargin, t) }},
	{"duties.order-period", "duration", "2s", false, "interval between backend server order plans", func(s *Settings, t string) error { return parseDuration(&s.orderPeriod, t) }},
	{"duties.max-servers", "number", "16", false, "maximum number of backend servers ordered per service and failure domain", func(s *Settings, t string) error { return parseInteger(&s.maxServers, t, 1, 1000) }},
	{"usage.window", "duration", "1m", false, "length of a usage window, the same on all instances", func(s *Settings, t string) error { return parseDuration(&s.usageWindow, t) }},
	{"requests.resend-window", "duration", "10m", false, "how long an idempotency key is remembered, the same on all instances", func(s *Settings, t string) error { return parseDuration(&s.resendWindow, t) }},
	{"callers.keep-time", "duration", "5s", false, "how long a caller may cache the list of entry instances", func(s *Settings, t string) error { return parseDuration(&s.keepTime, t) }},
	{"drain.wait", "duration", "2m", false, "maximum time to wait for running requests on shutdown", func(s *Settings, t string) error { return parseDuration(&s.drainWait, t) }},
	{"log.level", "word", "info", false, "debug, info, warn or error", func(s *Settings, t string) error { return parseEnum(&s.logLevel, t, "debug", "info", "warn", "error") }},
	{"trace.file", "path", "", false, "file that trace spans are appended to as JSON; empty disables tracing", func(s *Settings, t string) error { s.traceFile = t; return nil }},
}

// apply parses the option's value, or its default, into s.
func (o option) apply(s *Settings, values map[string]any) error {
	v, ok := values[o.path]
	if !ok {
		if o.required {
			return errors.New("is missing")
		}
		if o.defaultValue == "" {
			return nil
		}
		return o.parse(s, o.defaultValue)
	}
	text, err := o.valueText(v)
	if err != nil {
		return err
	}
	if text == "" && !o.required {
		return nil
	}
	return o.parse(s, text)
}

// valueText returns a JSON value as the text that parse takes.
func (o option) valueText(v any) (string, error) {
	switch v := v.(type) {
	case string:
		if o.valueType == "number" {
			return "", errors.New("must be a number, not a string")
		}
		return v, nil
	case float64:
		if o.valueType != "number" {
			return "", fmt.Errorf("must be a string of type %s, not a number", o.valueType)
		}
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	default:
		return "", fmt.Errorf("must be of type %s", o.valueType)
	}
}

func parseName(target *string, text string) error {
	if !namePattern.MatchString(text) {
		return fmt.Errorf("%q must be lower-case letters, digits and dashes, at most 63, and must not begin with a dash", text)
	}
	*target = text
	return nil
}

func parseAddress(target *string, text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q must be an IP address and a port, such as 10.0.0.1:8100", text)
	}
	if a.Port() == 0 {
		return fmt.Errorf("%q must have a port other than 0", text)
	}
	*target = text
	return nil
}

func parseDuration(target *time.Duration, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return fmt.Errorf("%q must be a positive duration with a unit, such as 500ms or 10s", text)
	}
	*target = d
	return nil
}

func parseNumber(target *float64, text string, low, high float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < low || v > high {
		return fmt.Errorf("%s must be from %g to %g", text, low, high)
	}
	*target = v
	return nil
}

func parseInteger(target *int, text string, low, high int) error {
	v, err := strconv.Atoi(text)
	if err != nil || v < low || v > high {
		return fmt.Errorf("%s must be an integer from %d to %d", text, low, high)
	}
	*target = v
	return nil
}

func parseSecret(target *[]byte, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) < 16 || len(raw) > 64 {
		return errors.New("must be 32 to 128 hexadecimal digits")
	}
	*target = raw
	return nil
}

func parseEnum(target *string, text string, allowed ...string) error {
	for _, w := range allowed {
		if text == w {
			*target = text
			return nil
		}
	}
	return fmt.Errorf("%q must be one of %v", text, allowed)
}
