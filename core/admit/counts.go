package admit

// entered notes that r was given to the target.
func (c *counts) entered(r *request) {
	if !r.batch() {
		c.online++
		c.onlinePrefill += r.prefill()
		return
	}
	c.batch++
	c.batchPrefill += r.prefill()
	c.batchPrefilling++
	if r.Alone {
		c.alone++
	}
}

// prefilled notes r's first token.
func (c *counts) prefilled(r *request) {
	if !r.batch() {
		c.onlinePrefill -= r.prefill()
		return
	}
	c.batchPrefill -= r.prefill()
	c.batchPrefilling--
}

// left notes that r has ended.
func (c *counts) left(r *request) {
	if !r.streaming {
		c.prefilled(r)
	}
	if !r.batch() {
		c.online--
		return
	}
	c.batch--
	if r.stopping {
		c.stopping--
	}
	if r.Alone {
		c.alone--
	}
}

// activeBatch is how many batch requests keep running.
func (c *counts) activeBatch() int { return c.batch - c.stopping }
