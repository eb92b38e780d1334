//! Names and identifiers as shared immutable strings.
//!
//! Names are cloned on every placement, so a clone only increments a reference
//! count and does not allocate. Each kind of name has its own type, so that a
//! team passed in place of a queue does not compile.

use std::fmt;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(ArcStr);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(ArcStr::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(ArcStr::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// Names a failure domain.
    DomainName
}
name_type! {
    /// Names a worker VM.
    WorkerName
}
name_type! {
    /// Names a rack inside a failure domain.
    RackName
}
name_type! {
    /// Names a team.
    TeamName
}
name_type! {
    /// Names an access key; never the key's secret.
    KeyName
}
name_type! {
    /// Names a queue.
    QueueName
}
name_type! {
    /// Names a share object.
    ShareName
}
name_type! {
    /// Names a limit object.
    LimitName
}
name_type! {
    /// Names a job class.
    ClassName
}
name_type! {
    /// Identifies a job across the fleet.
    JobId
}
name_type! {
    /// Identifies a request of one caller within its team.
    RequestId
}
name_type! {
    /// Identifies one run of one entry process; a restarted process has a new one.
    EntryId
}
name_type! {
    /// Identifies one boot of one worker; a restarted worker has a new one.
    BootId
}

/// Identifies one task of a job by its index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.job, self.index)
    }
}
