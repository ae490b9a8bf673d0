//! Just enough of the protocol-buffer wire format (Protocol Buffers documentation, "Encoding") to read remote write.

/// A series of a body.
#[derive(Debug, Clone, PartialEq)]
pub struct Written {
    /// Its labels, in the body's order.
    pub labels: Vec<(String, String)>,
    /// Its samples: Unix milliseconds and value.
    pub samples: Vec<(i64, f64)>,
    /// When its count began, if the body says so.
    pub created: Option<i64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Field<'a> {
    Varint(u64),
    Fixed64(u64),
    Bytes(&'a [u8]),
}

fn varint(bytes: &mut &[u8]) -> Result<u64, String> {
    let mut value = 0_u64;
    for shift in (0..64).step_by(7) {
        let (first, rest) = bytes.split_first().ok_or("a varint is cut off")?;
        *bytes = rest;
        value |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            return Ok(value);
        }
    }
    Err("a varint is too long".into())
}

fn split<'a>(bytes: &mut &'a [u8], length: usize) -> Result<&'a [u8], String> {
    let (head, rest) = bytes.split_at_checked(length).ok_or("a field is cut off")?;
    *bytes = rest;
    Ok(head)
}

fn fields(mut bytes: &[u8]) -> Result<Vec<(u64, Field<'_>)>, String> {
    let mut fields = Vec::new();
    while !bytes.is_empty() {
        let key = varint(&mut bytes)?;
        let field = match key & 7 {
            0 => Field::Varint(varint(&mut bytes)?),
            1 => {
                let head = split(&mut bytes, 8)?;
                Field::Fixed64(u64::from_le_bytes(head.try_into().map_err(|_| "eight bytes")?))
            }
            2 => {
                let length = varint(&mut bytes)? as usize;
                Field::Bytes(split(&mut bytes, length)?)
            }
            other => return Err(format!("wire type {other} is not known here")),
        };
        fields.push((key >> 3, field));
    }
    Ok(fields)
}

fn all<'a>(fields: &[(u64, Field<'a>)], number: u64) -> Result<Vec<&'a [u8]>, String> {
    let own = fields.iter().filter(|(n, _)| *n == number);
    own.map(|(_, field)| match field {
        Field::Bytes(bytes) => Ok(*bytes),
        other => Err(format!("field {number} holds {other:?}")),
    })
    .collect()
}

fn text(bytes: &[u8]) -> Result<String, String> {
    String::from_utf8(bytes.to_vec()).map_err(|_| "a text is not UTF-8".into())
}

fn one(fields: &[(u64, Field)], number: u64) -> Result<String, String> {
    // A field that is absent has its default, the empty text.
    text(all(fields, number)?.last().copied().unwrap_or_default())
}

/// A sample has the same fields in both versions: 1 the value, 2 the time.
fn samples(series: &[(u64, Field)]) -> Result<Vec<(i64, f64)>, String> {
    let mut samples = Vec::new();
    for sample in all(series, 2)? {
        let (mut value, mut time) = (0.0, 0);
        for field in fields(sample)? {
            match field {
                (1, Field::Fixed64(bits)) => value = f64::from_bits(bits),
                (2, Field::Varint(ms)) => time = ms as i64,
                other => return Err(format!("a sample holds {other:?}")),
            }
        }
        samples.push((time, value));
    }
    Ok(samples)
}

/// The series of an uncompressed body.
pub fn read(version_2: bool, body: &[u8]) -> Result<Vec<Written>, String> {
    let top = fields(body)?;
    if !version_2 {
        let series = all(&top, 1)?;
        return series
            .into_iter()
            .map(|series| {
                let series = fields(series)?;
                let labels = all(&series, 1)?.into_iter().map(|label| {
                    let label = fields(label)?;
                    Ok((one(&label, 1)?, one(&label, 2)?))
                });
                let labels = labels.collect::<Result<Vec<_>, String>>()?;
                Ok(Written { labels, samples: samples(&series)?, created: None })
            })
            .collect();
    }
    let symbols = all(&top, 4)?.into_iter().map(text).collect::<Result<Vec<_>, String>>()?;
    if symbols.first().is_none_or(|first| !first.is_empty()) {
        return Err("the first symbol is not the empty text".into());
    }
    let series = all(&top, 5)?;
    series
        .into_iter()
        .map(|series| {
            let series = fields(series)?;
            let mut refs = Vec::new();
            for mut packed in all(&series, 1)? {
                while !packed.is_empty() {
                    let place = varint(&mut packed)? as usize;
                    refs.push(symbols.get(place).ok_or("a symbol that is not there")?.clone());
                }
            }
            if refs.len() % 2 != 0 {
                return Err("a label without a value".into());
            }
            let labels = refs.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect();
            let created = series.iter().find_map(|field| match field {
                (6, Field::Varint(ms)) => Some(*ms as i64),
                _ => None,
            });
            Ok(Written { labels, samples: samples(&series)?, created })
        })
        .collect()
}
