package route

// Tokens that a budget holds at most and at the start.
const (
	budgetMost  = 50.0
	budgetStart = 1.0
)

// budget bounds hedges and retries to a fraction of the first attempts.
type budget struct {
	tokens float64
}

func (budget *budget) earn(fraction float64) {
	budget.tokens = min(budgetMost, budget.tokens+fraction)
}

func (budget *budget) spend() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
