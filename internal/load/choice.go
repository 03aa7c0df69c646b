package load

// MaxSmall is the largest number of servers that count as a small pool. In a larger one, each
// instance sends so few requests to each server that two instances rarely choose the same.
const MaxSmall = 16

// Pair draws two candidates at random, each with a probability inverse to the square of its
// expected time, and returns their indices, the better one first. Many instances with the same old reports thus do
// not all choose the same server. random returns numbers in [0, 1). With a single candidate,
// both indices are its own.
func Pair(expectedMS []float64, random func() float64) (better, other int) {
	first := draw(expectedMS, -1, random())
	if len(expectedMS) == 1 {
		return first, first
	}
	second := draw(expectedMS, first, random())
	if expectedMS[second] < expectedMS[first] {
		return second, first
	}
	return first, second
}

// draw returns a random index other than excluded. at is a random number in [0, 1).
func draw(expectedMS []float64, excluded int, at float64) int {
	total := 0.0
	for i, ms := range expectedMS {
		if i != excluded {
			total += 1 / (ms * ms)
		}
	}
	last := 0
	rest := at * total
	for i, ms := range expectedMS {
		if i == excluded {
			continue
		}
		last = i
		rest -= 1 / (ms * ms)
		if rest < 0 {
			break
		}
	}
	return last
}
