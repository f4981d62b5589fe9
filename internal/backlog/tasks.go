package backlog

import "arbutusramp/core/backlog"

// giveUpShard ends the runs of a shard's items and forgets them. What they have come to is written
// for the next owner, who goes on from there: events are the same from every target. No fence is
// needed for it; the fold takes the longest and none of items that have ended.
func (d *scheduler) giveUpShard(s *shard) {
	d.mu.Lock()
	delete(d.shards, s)
	var left []*task
	for key, t := range d.tasks {
		if t.shard == s {
			t.stop()
			left = append(left, t)
			delete(d.tasks, key)
		}
	}
	d.mu.Unlock()
	d.m.saveProgress(left)
}

// adoptProgress takes over what another process has written of a task, if that is further. In any case
// it is the last checkpoint, to be dropped once the task has ended. It returns the task's end, if
// that is what was written.
func (d *scheduler) adoptProgress(t *task, p backlog.Progress) *outcome {
	if !p.Begun() {
		return nil
	}
	end := t.adopt(p)
	if len(t.checkpointed()) == 0 {
		t.noteCheckpoint(d.m.encodeProgress(t, &p))
	}
	return end
}

// ended is an end that a former owner could not write, and the shard that now writes it.
type ended struct {
	shard *shard
	end   *outcome
}

// sync takes in new jobs of the owned shards, drops what is over and passes on the ends that former
// owners have left.
func (d *scheduler) sync() <-chan struct{} {
	news, ends := d.update()
	for _, e := range ends {
		e.shard.finish(e.end)
	}
	return news
}

// update is sync without telling the shards, which must not happen under the scheduler's lock.
func (d *scheduler) update() (news <-chan struct{}, ends []ended) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := make(map[int]*shard, len(d.shards))
	for s := range d.shards {
		owned[s.index] = s
	}
	news = d.m.replica.with(func(st *backlog.State) {
		st.Open(func(j *backlog.Job) {
			if s, ok := owned[d.m.shardOf(j.ID)]; ok {
				d.addJob(st, s, j)
			}
		})
		for key, t := range d.tasks {
			if st.Done(t.job.ID, t.item().ID) || st.Ended(t.job.ID) {
				t.stop()
				delete(d.tasks, key)
				d.drops = append(d.drops, backlog.Drop(t.checkpointed())...)
				continue
			}
			if end := d.adoptProgress(t, st.Progress(t.job.ID, t.item().ID)); end != nil {
				ends = append(ends, ended{t.shard, end})
			}
		}
	})
	return news, ends
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
