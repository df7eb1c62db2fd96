//! `hickorylink credential`: hashes a credential for the plans list.

use std::io::Read;

use clap::{Args as ClapArgs, Subcommand};
use hickorylink_lib::policy::CredentialHash;

use crate::{client::Outcome, exit::Exit};

/// The arguments of `credential`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Read a credential from the standard input and print its hash
    Hash,
}

/// Runs the command.
pub fn run(args: &Args) -> Outcome {
    let Action::Hash = args.action;
    let mut text = String::new();
    if let Err(error) = std::io::stdin().read_to_string(&mut text) {
        return Outcome::failure(Exit::Failed, error.to_string());
    }
    let credential = text.trim_end_matches(['\r', '\n']);
    if credential.is_empty() {
        return Outcome::failure(
            Exit::Usage,
            "the standard input is empty; a credential is expected",
        );
    }
    let hash = blake3::Hash::from_bytes(CredentialHash::of(credential).digest);
    Outcome::success(format!("blake3:{}", hash.to_hex()))
}
