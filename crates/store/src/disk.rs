//! The disk as the store uses it: the operations that real files and a simulated disk have in common.

use std::any::Any;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// One open file.
pub trait DiskFile: Send + Sync {
    /// Writes at an offset; may write less than asked.
    ///
    /// # Errors
    ///
    /// That of the system call, such as a full disk. Some of the bytes may be in the file then.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Reads at an offset; may read less than asked, 0 at the end.
    ///
    /// # Errors
    ///
    /// That of the system call.
    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Its length in bytes.
    ///
    /// # Errors
    ///
    /// That of the system call.
    fn len(&self) -> io::Result<u64>;

    /// Sets its length.
    ///
    /// # Errors
    ///
    /// That of the system call.
    fn truncate(&self, len: u64) -> io::Result<()>;

    /// Returns once what was written is durable (`fdatasync`).
    ///
    /// # Errors
    ///
    /// That of the system call: whether anything unsynced is durable is not known then, also after a later sync that succeeds.
    fn sync(&self) -> io::Result<()>;

    /// Whether it has no byte.
    ///
    /// # Errors
    ///
    /// That of [`DiskFile::len`].
    fn is_empty(&self) -> io::Result<bool> {
        Ok(self.len()? == 0)
    }
}

/// Who may use a directory beside the holder of its lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockMode {
    /// Nobody: for writing.
    Exclusive,
    /// Other readers: for reading.
    Shared,
}

/// Keeps a directory locked for as long as it lives.
pub type DirectoryLock = Box<dyn Any + Send + Sync>;

/// One directory of files.
pub trait Disk: Send + Sync {
    /// Its name in messages.
    fn name(&self) -> String;

    /// The names of its files.
    ///
    /// # Errors
    ///
    /// That of the system call.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AlreadyExists`] where there is one of that name; else that of the system call.
    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;

    /// Opens an existing file to read it.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] where there is none of that name; else that of the system call.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;

    /// Renames a file, replacing one that has the new name.
    ///
    /// # Errors
    ///
    /// That of the system call.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] where there is none of that name; else that of the system call.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns once creations, renames and removals are durable.
    ///
    /// # Errors
    ///
    /// That of the system call: which of them are durable is not known then.
    fn sync_dir(&self) -> io::Result<()>;

    /// Locks the directory for as long as what is returned lives. `None` where the lock of another process forbids it.
    ///
    /// # Errors
    ///
    /// That of the system call.
    fn lock(&self, mode: LockMode) -> io::Result<Option<DirectoryLock>>;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct RealDisk {
    dir: PathBuf,
}

/// The file that is locked against a second process.
const LOCK_FILE: &str = "LOCK";

impl RealDisk {
    /// An existing directory.
    ///
    /// # Errors
    ///
    /// The system's error; also where the path is not a directory.
    pub fn open(dir: &Path) -> io::Result<RealDisk> {
        if !std::fs::metadata(dir)?.is_dir() {
            return Err(io::Error::new(io::ErrorKind::NotADirectory, "not a directory"));
        }
        Ok(RealDisk { dir: dir.to_owned() })
    }

    /// A directory, created if it is not there.
    ///
    /// # Errors
    ///
    /// Those of [`RealDisk::open`].
    pub fn open_or_create(dir: &Path) -> io::Result<RealDisk> {
        if !dir.exists() {
            std::fs::create_dir_all(dir)?;
            if let Some(parent) = dir.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent)?.sync_all()?; // or the directory itself could be gone after a power cut
            }
        }
        RealDisk::open(dir)
    }
}

impl DiskFile for File {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        FileExt::write_at(self, bytes, offset)
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        FileExt::read_at(self, into, offset)
    }

    fn len(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Disk for RealDisk {
    fn name(&self) -> String {
        self.dir.display().to_string()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names = std::fs::read_dir(&self.dir)?.map(|e| Ok(e?.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let options = OpenOptions::new().read(true).write(true).create_new(true).to_owned();
        Ok(Arc::new(options.open(self.dir.join(name))?))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        Ok(Arc::new(File::open(self.dir.join(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.dir.join(name))
    }

    fn sync_dir(&self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }

    fn lock(&self, mode: LockMode) -> io::Result<Option<DirectoryLock>> {
        use rustix::fs::{FlockOperation, flock};
        let path = self.dir.join(LOCK_FILE);
        let is_exclusive = mode == LockMode::Exclusive;
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(is_exclusive).truncate(false);
        let file = match options.open(&path) {
            // A reader of a directory that was never opened for writing has nobody to fear.
            Err(error) if error.kind() == io::ErrorKind::NotFound && !is_exclusive => {
                return Ok(Some(Box::new(())));
            }
            Err(error) if error.kind() == io::ErrorKind::PermissionDenied && !is_exclusive => {
                File::open(&path)?
            }
            opened => opened?,
        };
        let operation = match mode {
            LockMode::Exclusive => FlockOperation::NonBlockingLockExclusive,
            LockMode::Shared => FlockOperation::NonBlockingLockShared,
        };
        match flock(&file, operation) {
            Ok(()) => Ok(Some(Box::new(file))),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// Writes all bytes, through short writes.
pub(crate) fn write_all(file: &dyn DiskFile, mut offset: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => {
                offset += n as u64;
                bytes = &bytes[n..];
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads what there is of a range, through short reads.
pub(crate) fn read_range(file: &dyn DiskFile, offset: u64, len: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; len];
    let mut at = 0;
    while at < len {
        match file.read_at(offset + at as u64, &mut bytes[at..]) {
            Ok(0) => break,
            Ok(n) => at += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    bytes.truncate(at);
    Ok(bytes)
}
