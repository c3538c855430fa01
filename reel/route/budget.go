package route

const (
	// maxBudgetTokens limits the burst of extra attempts after a period without any.
	maxBudgetTokens = 50.0
	// initialBudgetTokens allows one extra attempt before the first one has earned any.
	initialBudgetTokens = 1.0
)

// budget is a token bucket that limits hedges and retries to a fraction of the first attempts.
type budget struct {
	tokens float64
}

// earn adds the fraction of a token that one first attempt earns.
func (budget *budget) earn(fraction float64) {
	budget.tokens = min(maxBudgetTokens, budget.tokens+fraction)
}

// spend takes one token and reports whether one was available.
func (budget *budget) spend() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
