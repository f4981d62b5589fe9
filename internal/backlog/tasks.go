package backlog

import "arbutusramp/core/backlog"

// releaseShard cancels the runs of a shard's items, removes their tasks and writes their progress in the
// background. The next owner resumes from this progress; the events of an item are the same from every
// target. The write needs no fencing, because the state keeps the longest progress of an item and none of a
// finished one.
func (sc *scheduler) releaseShard(s *shard) {
	sc.mu.Lock()
	delete(sc.shards, s)
	var released []*task
	for key, t := range sc.tasks {
		if t.shard == s {
			t.cancelRun()
			released = append(released, t)
			delete(sc.tasks, key)
		}
	}
	sc.mu.Unlock()
	sc.m.saveProgress(released)
}

// applyProgress merges the stored progress of an item into its task; see mergeProgress. If the task has no
// checkpoint, the stored progress becomes its last checkpoint, which is deleted once the item has a result.
func (sc *scheduler) applyProgress(t *task, p backlog.Progress) *pendingResult {
	if !p.HasStarted() {
		return nil
	}
	result := t.mergeProgress(p)
	if len(t.lastCheckpoint()) == 0 {
		t.noteCheckpoint(sc.m.encodeProgress(t, &p))
	}
	return result
}

// inheritedResult is a result that a former owner has stored as progress, and the shard that writes it as a
// result.
type inheritedResult struct {
	shard  *shard
	result *pendingResult
}

// sync updates the tasks as updateTasks does and passes inherited results to their shards. It returns a
// channel that is closed at the next change of the state.
func (sc *scheduler) sync() <-chan struct{} {
	changed, inherited := sc.updateTasks()
	for _, r := range inherited {
		r.shard.enqueueResult(r.result)
	}
	return changed
}

// updateTasks adds tasks for new items of the owned shards, removes those of finished and cancelled items,
// and merges stored progress into the others. It returns a channel that is closed at the next change of the
// state. It also returns the inherited results: they must not be passed to shards under the scheduler's lock,
// which it holds.
func (sc *scheduler) updateTasks() (changed <-chan struct{}, inherited []inheritedResult) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	ownedShards := make(map[int]*shard, len(sc.shards))
	for s := range sc.shards {
		ownedShards[s.index] = s
	}
	changed = sc.m.replica.withState(func(st *backlog.State) {
		st.EachOpenJob(func(j *backlog.Job) {
			if s, ok := ownedShards[sc.m.shardOf(j.ID)]; ok {
				sc.addJob(st, s, j)
			}
		})
		for key, t := range sc.tasks {
			if st.HasResult(t.job.ID, t.item().ID) || st.IsCancelled(t.job.ID) {
				t.cancelRun()
				delete(sc.tasks, key)
				sc.tombstones = append(sc.tombstones, backlog.Tombstones(t.lastCheckpoint())...)
				continue
			}
			if result := sc.applyProgress(t, st.Progress(t.job.ID, t.item().ID)); result != nil {
				inherited = append(inherited, inheritedResult{t.shard, result})
			}
		}
	})
	return changed, inherited
}

// addJob adds tasks for the unfinished items of a job, which belongs to shard s. The caller holds the
// scheduler's lock.
func (sc *scheduler) addJob(st *backlog.State, s *shard, j *backlog.Job) {
	for i := range j.Items {
		key := itemKey{j.ID, j.Items[i].ID}
		if _, ok := sc.tasks[key]; ok || st.HasResult(j.ID, j.Items[i].ID) {
			continue
		}
		sc.tasks[key] = newTask(s, j, i)
	}
}
