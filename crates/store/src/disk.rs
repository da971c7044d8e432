//! The interface of the store to the disk, which real files and a simulated disk implement.

use std::any::Any;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// One open file.
pub trait DiskFile: Send + Sync {
    /// Writes at an offset. Returns the number of bytes written, which may be less than the length of `bytes`.
    ///
    /// # Errors
    ///
    /// The error of the system call, such as a full disk. Some of the bytes may be in the file then.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Reads at an offset. Returns the number of bytes read, which may be less than the length of `into`; 0 at the end.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize>;

    /// The length of the file, in bytes.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    fn len(&self) -> io::Result<u64>;

    /// Sets the length of the file, in bytes.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    fn truncate(&self, len: u64) -> io::Result<()>;

    /// Returns once all written bytes are durable (`fdatasync`).
    ///
    /// # Errors
    ///
    /// The error of the system call. It is then unknown which unsynced bytes are durable, even after a later sync succeeds.
    fn sync(&self) -> io::Result<()>;

    /// Whether the file is empty.
    ///
    /// # Errors
    ///
    /// The errors of [`DiskFile::len`].
    fn is_empty(&self) -> io::Result<bool> {
        Ok(self.len()? == 0)
    }
}

/// The mode of the lock of a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockMode {
    /// For writing: no other process may open the directory.
    Exclusive,
    /// For reading: other processes may open the directory for reading.
    Shared,
}

/// A lock on a directory, which is held until this is dropped.
pub type DirectoryLock = Box<dyn Any + Send + Sync>;

/// One directory of files.
pub trait Disk: Send + Sync {
    /// The name of the directory for messages.
    fn name(&self) -> String;

    /// The names of the files in the directory.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AlreadyExists`] if a file has that name; otherwise the error of the system call.
    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;

    /// Opens an existing file for reading.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if no file has that name; otherwise the error of the system call.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;

    /// Renames a file, and replaces an existing file with the new name.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if no file has that name; otherwise the error of the system call.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns once creations, renames and removals are durable.
    ///
    /// # Errors
    ///
    /// The error of the system call. It is then unknown which changes are durable.
    fn sync_dir(&self) -> io::Result<()>;

    /// Locks the directory until the returned lock is dropped. Returns `None` if another process holds a conflicting lock.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    fn lock(&self, mode: LockMode) -> io::Result<Option<DirectoryLock>>;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct RealDisk {
    dir: PathBuf,
}

/// The name of the file that is locked in place of the directory.
const LOCK_FILE: &str = "LOCK";

impl RealDisk {
    /// Opens an existing directory.
    ///
    /// # Errors
    ///
    /// The error of the system call, or [`io::ErrorKind::NotADirectory`].
    pub fn open(dir: &Path) -> io::Result<RealDisk> {
        if !std::fs::metadata(dir)?.is_dir() {
            return Err(io::Error::new(io::ErrorKind::NotADirectory, "not a directory"));
        }
        Ok(RealDisk { dir: dir.to_owned() })
    }

    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The errors of [`RealDisk::open`].
    pub fn open_or_create(dir: &Path) -> io::Result<RealDisk> {
        if !dir.exists() {
            std::fs::create_dir_all(dir)?;
            if let Some(parent) = dir.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent)?.sync_all()?; // otherwise a power cut could remove the directory itself
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
        let entries = std::fs::read_dir(&self.dir)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
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
            // A directory that was never opened for writing has no lock file, and needs none.
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

/// Writes all bytes, repeating short and interrupted writes.
pub(crate) fn write_all(file: &dyn DiskFile, mut offset: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => {
                offset += written as u64;
                bytes = &bytes[written..];
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads a range, repeating short and interrupted reads. The result is shorter than `len` if the file ends earlier.
pub(crate) fn read_range(file: &dyn DiskFile, offset: u64, len: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; len];
    let mut at = 0;
    while at < len {
        match file.read_at(offset + at as u64, &mut bytes[at..]) {
            Ok(0) => break,
            Ok(read) => at += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    bytes.truncate(at);
    Ok(bytes)
}
