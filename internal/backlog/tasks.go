package backlog

import "arbutusramp/core/backlog"

// releaseShard cancels the runs of a shard's items and discards their tasks. Their progress is written for
// the next owner, which resumes from there: events are the same from every target. This write needs no
// fencing: the state keeps the longest progress, and none of finished items.
func (d *scheduler) releaseShard(s *shard) {
	d.mu.Lock()
	delete(d.shards, s)
	var released []*task
	for key, t := range d.tasks {
		if t.shard == s {
			t.cancelRun()
			released = append(released, t)
			delete(d.tasks, key)
		}
	}
	d.mu.Unlock()
	d.m.saveProgress(released)
}

// applyProgress applies the stored progress of a task, if that is further. In any case it counts as the last
// checkpoint, to be deleted once the task is finished. applyProgress returns the task's result, if the
// progress holds it.
func (d *scheduler) applyProgress(t *task, p backlog.Progress) *pendingResult {
	if !p.Begun() {
		return nil
	}
	result := t.mergeProgress(p)
	if len(t.lastCheckpoint()) == 0 {
		t.noteCheckpoint(d.m.encodeProgress(t, &p))
	}
	return result
}

// inheritedResult is a result that a former owner could not write, and the shard that writes it now.
type inheritedResult struct {
	shard  *shard
	result *pendingResult
}

// sync adds tasks for new jobs of the owned shards, removes finished ones and passes inherited results
// to their shards. It returns a channel that the next change of the state closes.
func (d *scheduler) sync() <-chan struct{} {
	changed, inherited := d.updateTasks()
	for _, e := range inherited {
		e.shard.enqueueResult(e.result)
	}
	return changed
}

// updateTasks does the work of sync under the scheduler's lock, under which results must not be passed to
// shards.
func (d *scheduler) updateTasks() (changed <-chan struct{}, inherited []inheritedResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := make(map[int]*shard, len(d.shards))
	for s := range d.shards {
		owned[s.index] = s
	}
	changed = d.m.replica.withState(func(st *backlog.State) {
		st.Open(func(j *backlog.Job) {
			if s, ok := owned[d.m.shardOf(j.ID)]; ok {
				d.addJob(st, s, j)
			}
		})
		for key, t := range d.tasks {
			if st.Done(t.job.ID, t.item().ID) || st.Ended(t.job.ID) {
				t.cancelRun()
				delete(d.tasks, key)
				d.tombstones = append(d.tombstones, backlog.Drop(t.lastCheckpoint())...)
				continue
			}
			if result := d.applyProgress(t, st.Progress(t.job.ID, t.item().ID)); result != nil {
				inherited = append(inherited, inheritedResult{t.shard, result})
			}
		}
	})
	return changed, inherited
}

func (d *scheduler) addJob(st *backlog.State, s *shard, j *backlog.Job) {
	for i := range j.Items {
		key := j.ID + "/" + j.Items[i].ID
		if _, ok := d.tasks[key]; ok || st.Done(j.ID, j.Items[i].ID) {
			continue
		}
		d.tasks[key] = newTask(s, j, i)
	}
}
