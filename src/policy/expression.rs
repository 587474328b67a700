//! The expression language: a subset of CEL without lists, maps and the macros over them. It therefore has no loops,
//! so that evaluation always ends, in time proportional to the length of the text.

use cel::common::ast::{Expr, IdedExpr};
use cel::{Context, ExecutionError, Program, Value};

/// Longer expressions are rejected: nobody needs them, and the limit bounds their depth as well.
const MAX_EXPRESSION_BYTES: usize = 400;
const UNSUPPORTED_SYNTAX: &str = "lists, maps, fields and loops are not allowed";
const ALLOWED_FUNCTIONS: [&str; 3] = ["min", "max", "double"];

/// A checked expression.
#[derive(Debug, Default)]
pub struct Expression {
    source: String,
    program: Option<Program>,
}

/// An error in an expression, and its column (from 1).
#[derive(Debug)]
pub struct ExpressionError {
    pub column: usize,
    pub problem: String,
}

/// The value of an expression.
#[derive(Debug, Clone, PartialEq)]
pub enum ExpressionValue {
    Number(f64),
    Boolean(bool),
    Other,
}

impl ExpressionValue {
    /// The type of the value, for errors.
    pub fn type_description(&self) -> &'static str {
        match self {
            ExpressionValue::Number(_) => "a number",
            ExpressionValue::Boolean(_) => "true or false",
            ExpressionValue::Other => "text",
        }
    }
}

fn error_at(column: usize, problem: impl Into<String>) -> ExpressionError {
    ExpressionError {
        column,
        problem: problem.into(),
    }
}

impl Expression {
    /// Compiles an expression and checks that it only uses the supported syntax.
    pub fn parse(source: &str) -> Result<Self, ExpressionError> {
        if source.len() > MAX_EXPRESSION_BYTES {
            return Err(error_at(
                1,
                format!("longer than {MAX_EXPRESSION_BYTES} bytes"),
            ));
        }
        let program = Program::compile(source).map_err(|errors| {
            let column = errors
                .errors
                .first()
                .map_or(1, |error| usize::try_from(error.pos.1).unwrap_or(1).max(1));
            error_at(column, "the expression is incomplete or malformed")
        })?;
        check_allowed(source, program.expression())?;
        Ok(Expression {
            source: source.to_owned(),
            program: Some(program),
        })
    }

    /// Evaluates the expression with these variables.
    pub fn evaluate(
        &self,
        numbers: &[(&str, f64)],
        texts: &[(&str, &str)],
    ) -> Result<ExpressionValue, ExpressionError> {
        let Some(program) = &self.program else {
            return Err(error_at(1, "the expression is empty"));
        };
        let is_known = |name: &str| {
            numbers.iter().any(|(n, _)| *n == name) || texts.iter().any(|(n, _)| *n == name)
        };
        if let Some(name) = program
            .references()
            .variables()
            .into_iter()
            .find(|name| !is_known(name))
        {
            let mut names: Vec<&str> = numbers
                .iter()
                .map(|(n, _)| *n)
                .chain(texts.iter().map(|(n, _)| *n))
                .collect();
            names.sort_unstable();
            let problem = format!("unknown variable `{name}`; known are {}", names.join(", "));
            return Err(error_at(column_of(&self.source, name), problem));
        }
        let mut context = Context::default();
        for (name, function) in [("min", f64::min as fn(f64, f64) -> f64), ("max", f64::max)] {
            context
                .add_function(name, function)
                .map_err(|_| error_at(1, "the functions can't be registered"))?;
        }
        for (name, value) in numbers {
            context.add_variable_from_value(*name, *value);
        }
        for (name, value) in texts {
            context.add_variable_from_value(*name, *value);
        }
        match program.execute(&context) {
            Ok(Value::Float(value)) => Ok(ExpressionValue::Number(value)),
            Ok(Value::Int(value)) => Ok(ExpressionValue::Number(value as f64)),
            Ok(Value::UInt(value)) => Ok(ExpressionValue::Number(value as f64)),
            Ok(Value::Bool(truth)) => Ok(ExpressionValue::Boolean(truth)),
            Ok(_) => Ok(ExpressionValue::Other),
            Err(ExecutionError::DivisionByZero(_)) => Err(error_at(1, "division by zero")),
            Err(_) => Err(error_at(
                1,
                "types don't match, or a number has no decimal point: write 2.0, not 2",
            )),
        }
    }
}

/// Checks that an expression only contains literals, variables, operators and a few functions. All other syntax of CEL
/// is rejected because it is not listed here.
fn check_allowed(source: &str, expression: &IdedExpr) -> Result<(), ExpressionError> {
    match &expression.expr {
        Expr::Literal(_) | Expr::Ident(_) => Ok(()),
        Expr::Call(call) if call.target.is_none() => {
            let name = call.func_name.as_str();
            if name.contains('[') {
                return Err(error_at(1, UNSUPPORTED_SYNTAX));
            }
            let is_operator = !name.starts_with(|c: char| c.is_alphabetic());
            if !is_operator && !ALLOWED_FUNCTIONS.contains(&name) {
                let problem = format!(
                    "unknown function `{name}`; known are {}",
                    ALLOWED_FUNCTIONS.join(", ")
                );
                return Err(error_at(column_of(source, name), problem));
            }
            call.args
                .iter()
                .try_for_each(|argument| check_allowed(source, argument))
        }
        _ => Err(error_at(1, UNSUPPORTED_SYNTAX)),
    }
}

/// Returns the column of the first occurrence of a name as a whole word.
fn column_of(source: &str, name: &str) -> usize {
    let is_word_char = |c: char| c.is_alphanumeric() || c == '_';
    let is_whole_word = |at: usize| {
        let before = source[..at].chars().next_back();
        let after = source[at + name.len()..].chars().next();
        !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
    };
    let at = source
        .match_indices(name)
        .map(|(at, _)| at)
        .find(|at| is_whole_word(*at))
        .unwrap_or(0);
    source[..at].chars().count() + 1
}
