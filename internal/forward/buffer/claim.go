package buffer

import "context"

// Claim counts the bytes that are held of one answer.
type Claim struct {
	budget *Budget
	owner  string
	cut    func()
	number uint64
	held   int64
	// whole is true when what is held does not grow any more.
	whole bool
	// cause is why the answer was cut, nil if it was not.
	cause error
}

// Claim begins a claim for an answer of an upstream, the owner. It holds nothing yet. cut is
// called at most once, and not after SetWhole(true) or Release, to end the reading of the
// answer. It must neither block nor call the budget.
func (b *Budget) Claim(owner string, cut func()) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &b.answers
	if a.unfinished == nil {
		a.unfinished = make(map[*Claim]bool)
		a.released.L = &b.mu
	}
	a.last++
	c := &Claim{budget: b, owner: owner, cut: cut, number: a.last}
	a.unfinished[c] = true
	return c
}

// Grow claims n bytes more. It fails with ErrCut or ErrFull once the answer was cut: the bytes
// that are held count until Release. It waits while too many bytes of other answers that were cut are
// not released yet.
func (c *Claim) Grow(n int) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for a := &b.answers; ; a.released.Wait() {
		a.makeRoom(c, int64(n))
		switch {
		case c.cause != nil:
			return c.cause
		case a.fits(int64(n)):
			a.used += int64(n)
			c.held += int64(n)
			return nil
		}
	}
}

// smallAnswer is the size in bytes up to which an answer of a stated length need not wait.
const smallAnswer = 64 << 10

// Reserve claims the n bytes of an answer of a stated length, which is not cut from then on. It
// waits until they are within the bound, or ctx ends, as an answer that is on its way is worth
// more than a failure. An upstream whose answers of unknown length hold more than half of the
// bound loses the largest of these for it. A small answer does not wait while what may be held
// beyond the bound is enough for it.
func (c *Claim) Reserve(ctx context.Context, n int) error {
	b := c.budget
	a := &b.answers
	defer context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		a.released.Broadcast()
	})()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(a.unfinished, c)
	for !a.hasRoom(int64(n)) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if v := a.dominant(); v != nil && a.used-a.cutting+int64(n) > a.total {
			a.cutClaim(v, ErrCut)
			continue
		}
		a.released.Wait()
	}
	a.used += int64(n)
	c.held += int64(n)
	c.whole = true
	a.whole += int64(n)
	return nil
}

// hasRoom reports whether an answer of n bytes fits besides what is not cut.
func (a *answers) hasRoom(n int64) bool {
	if n <= smallAnswer && a.fits(n) {
		return true
	}
	return a.total == 0 || a.used == 0 || a.used+n <= a.total
}

// dominant returns the largest unfinished claim of the owner that holds most, if that is more
// than half of the bound, else nil.
func (a *answers) dominant() *Claim {
	sums := make(map[string]int64)
	var worst *Claim
	for o := range a.unfinished {
		sums[o.owner] += o.held
	}
	for o := range a.unfinished {
		if sums[o.owner] > a.total/2 && (worst == nil || o.held > worst.held || o.held == worst.held && o.number > worst.number) {
			worst = o
		}
	}
	return worst
}

// Shrink releases n of the bytes that are held.
func (c *Claim) Shrink(n int) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.release(min(int64(n), c.held))
}

// SetWhole tells whether what the claim holds is whole, and can't be cut any more, or still
// grows.
func (c *Claim) SetWhole(whole bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.cause != nil || c.whole == whole {
		return
	}
	c.whole = whole
	if whole {
		delete(b.answers.unfinished, c)
		b.answers.whole += c.held
	} else {
		b.answers.unfinished[c] = true
		b.answers.whole -= c.held
	}
}

// SetTaken tells that the answer is whole and that its caller takes it now. If most of what is
// held is whole answers, the largest that is being taken is cut rather than a smaller answer
// that is still read. cut is called at most once, and not after Release, to end the writing; it
// must neither block nor call the budget.
func (c *Claim) SetTaken(cut func()) {
	c.SetWhole(true)
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cut = cut
	if b.answers.taken == nil {
		b.answers.taken = make(map[*Claim]bool)
	}
	b.answers.taken[c] = true
}

// Cut returns ErrCut or ErrFull if the answer was cut, else nil.
func (c *Claim) Cut() error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.cause
}

// Release ends the claim.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.answers.unfinished, c)
	delete(b.answers.taken, c)
	c.release(c.held)
}

// release returns n bytes. The caller must hold mu.
func (c *Claim) release(n int64) {
	a := &c.budget.answers
	c.held -= n
	a.used -= n
	if c.cause != nil {
		a.cutting -= n
	}
	if c.whole {
		a.whole -= n
	}
	a.released.Broadcast()
}

// fits reports whether n bytes more are within the bound and what may be held beyond it
// meanwhile. An answer that is alone always fits.
func (a *answers) fits(n int64) bool {
	return a.total == 0 || a.used == 0 || a.used+n <= a.total+int64(overshootFraction*float64(a.total))
}

// makeRoom cuts answers until n bytes more of c are within the bound once the bytes of cut
// answers are released, or c itself is cut.
func (a *answers) makeRoom(c *Claim, n int64) {
	for a.total > 0 && c.cause == nil && a.used > a.cutting && a.used-a.cutting+n > a.total {
		v, cause := a.worst(c, n), ErrCut
		if a.whole > a.total/2 {
			v, cause = a.largestTaken(v, a.size(v, c, n)), ErrFull
		}
		a.cutClaim(v, cause)
	}
}

// cutClaim cuts an answer.
func (a *answers) cutClaim(v *Claim, cause error) {
	v.cause = cause
	delete(a.unfinished, v)
	delete(a.taken, v)
	a.cutting += v.held
	if v.whole {
		v.whole = false
		a.whole -= v.held
	}
	a.cuts++
	a.released.Broadcast()
	if v.cut != nil {
		v.cut()
	}
}

// worst returns the largest unfinished claim of the owner that holds most, if c holds n bytes
// more.
func (a *answers) worst(c *Claim, n int64) *Claim {
	size := func(o *Claim) int64 { return a.size(o, c, n) }
	sums := make(map[string]int64)
	for o := range a.unfinished {
		sums[o.owner] += size(o)
	}
	worst := c
	for o := range a.unfinished {
		if o == worst {
			continue
		}
		switch d, e := sums[o.owner]-sums[worst.owner], size(o)-size(worst); {
		case d > 0, d == 0 && e > 0, d == 0 && e == 0 && o.number > worst.number:
			worst = o
		}
	}
	return worst
}

// size returns what a claim holds, if c holds n bytes more.
func (*answers) size(o, c *Claim, n int64) int64 {
	if o == c {
		return o.held + n
	}
	return o.held
}

// largestTaken returns the largest whole answer that a caller is taking, or v if none is larger
// than the given size.
func (a *answers) largestTaken(v *Claim, size int64) *Claim {
	for o := range a.taken {
		if o.held > size || o.held == size && a.taken[v] && o.number < v.number {
			v, size = o, o.held
		}
	}
	return v
}
