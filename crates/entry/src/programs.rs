//! Creation and end of programs.

use std::rc::Rc;

use log::{Budget, Cause, Created, Event, Handle, Parent};
use units::{Account, Class, Program, Span, Time};

use crate::links;
use crate::live::LiveProgram;
use crate::refusal::{Refusal, Result};
use crate::routing;
use crate::traffic::Traffic;

impl Traffic {
    /// The identifier for a new program.
    pub(crate) fn next_id(&self, log: &Handle) -> Program {
        self.last_program_number
            .set(self.last_program_number.get() + 1);
        Program {
            origin: log.writer(),
            number: self.last_program_number.get(),
        }
    }

    /// Creates a program for a caller.
    pub(crate) async fn create(
        &self,
        account: &Account,
        class: Class,
        budget: Budget,
        deadline: Option<Span>,
    ) -> Result<Rc<LiveProgram>> {
        if self.is_leaving() {
            return Err(Refusal::Unready);
        }
        let environment = self.environment()?;
        let document = &environment.document;
        let account_settings = document.accounts.get(account);
        let allowed = account_settings.is_some_and(|settings| settings.classes.contains(&class));
        let class_settings = document
            .classes
            .get(&class)
            .filter(|_| allowed)
            .ok_or(Refusal::ClassNotAllowed)?;
        let programs_max = account_settings.map_or(0, |settings| settings.programs_max);
        let _permit = self.acquire_permit(account, programs_max)?;
        routing::admit(self, class_settings)?;
        let limits = &document.limits;
        let budget = Budget {
            tokens: budget.tokens.min(limits.tokens_max),
            calls: budget.calls.min(limits.calls_max),
        };
        let now = self.shared.clock.now();
        let created = Created {
            account: account.clone(),
            class,
            budget,
            deadline: now.after(
                deadline
                    .unwrap_or(class_settings.deadline)
                    .min(class_settings.deadline),
            ),
            parent: None,
            document: environment.version,
            entry: self.shared.identity.host.clone(),
            at: now,
        };
        let log = self.log()?;
        let program = program::Program::new(created.clone());
        let live = LiveProgram::new(self.next_id(&log), program, log);
        self.append(&live, vec![Event::Created(created)]).await?;
        self.add_program(live.clone());
        Ok(live)
    }

    /// The creation record of a sub-agent of `parent`.
    pub(crate) fn child_creation(
        &self,
        parent: &LiveProgram,
        parent_call: Parent,
        budget: Budget,
    ) -> Result<Created> {
        let environment = self.environment()?;
        let program = parent.program.borrow();
        Ok(Created {
            budget,
            parent: Some(parent_call),
            document: environment.version,
            entry: self.shared.identity.host.clone(),
            at: self.shared.clock.now(),
            ..program.created().clone()
        })
    }

    /// Adds a program to those that this entry owns.
    pub(crate) fn add_program(&self, live: Rc<LiveProgram>) {
        routing::add_program(self, &live);
        live.charge_history(&self.shared.limiter);
        self.programs.borrow_mut().insert(live.id, live);
        self.update_program_count();
    }

    /// Removes programs that ended more than `retention` ago; the log keeps their history.
    pub(crate) fn drop_ended(&self, retention: Span, now: Time) {
        self.programs.borrow_mut().retain(|_, live| {
            let ended = live.program.borrow().ended();
            ended.is_none_or(|(_, at)| now.since(at) <= retention)
        });
        self.update_program_count();
    }

    fn update_program_count(&self) {
        let count = self.programs.borrow().len();
        self.shared
            .metrics
            .set_gauge("programs-count", count as i64);
    }

    /// Ends a program and its sub-agents and frees the engines' memory of it. Sub-agents end first,
    /// so that their unused tokens are returned before the program's own are counted.
    pub(crate) async fn end(&self, live: &Rc<LiveProgram>, cause: Cause) -> Result<()> {
        if live.program.borrow().ended().is_some() || live.ending.replace(true) {
            return Ok(());
        }
        let ended = self.end_with_children(live, cause).await;
        live.ending.set(false);
        ended?;
        routing::remove_ended(self, live);
        links::release_program(self, live.id);
        Ok(())
    }

    async fn end_with_children(&self, live: &Rc<LiveProgram>, cause: Cause) -> Result<()> {
        for child in self.children(live.id) {
            Box::pin(self.end(&child, Cause::Parent)).await?;
        }
        let at = self.shared.clock.now();
        let ended = Event::Ended { cause, at };
        let Some(parent) = self.refund_parent(live) else {
            return self.append(live, vec![ended]).await;
        };
        let returned = Event::Returned {
            child: live.id,
            tokens: live.program.borrow().unused_tokens(),
        };
        // One batch, so that the unused tokens are returned if and only if the end is durable.
        let records = vec![live.record(ended.clone()), parent.record(returned.clone())];
        self.append_records(&live.log, records).await?;
        live.program.borrow_mut().apply(&ended);
        parent.program.borrow_mut().apply(&returned);
        Ok(())
    }

    /// The parent that receives unused tokens, if it is in the same log and has not ended.
    fn refund_parent(&self, live: &LiveProgram) -> Option<Rc<LiveProgram>> {
        let parent = live.program.borrow().created().parent?.program;
        let parent = self.owned_program(parent)?;
        let is_open = parent.program.borrow().ended().is_none();
        let same_log = parent.log.writer() == live.log.writer();
        (is_open && same_log).then_some(parent)
    }

    fn children(&self, id: Program) -> Vec<Rc<LiveProgram>> {
        let is_child = |live: &&Rc<LiveProgram>| {
            let program = live.program.borrow();
            program
                .created()
                .parent
                .is_some_and(|parent| parent.program == id)
        };
        self.programs
            .borrow()
            .values()
            .filter(is_child)
            .cloned()
            .collect()
    }
}
