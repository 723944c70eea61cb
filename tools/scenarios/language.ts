/**
 * Parses the scenario language: one statement a line, `#` for comments.
 *
 * @packageDocumentation
 */
import * as Chevrotain from 'chevrotain'
import * as Neverthrow from 'neverthrow'
import type * as Statements from './statements.ts'

const { createToken } = Chevrotain
const Word = createToken({ name: 'Word', pattern: /[A-Za-z/][A-Za-z0-9/_.-]*/ })
const keyword = (text: string): Chevrotain.TokenType => createToken({ name: `"${text}"`, pattern: new RegExp(`${text}(?![A-Za-z0-9/_.-])`), categories: Word })
const Num = createToken({ name: 'a number', pattern: /\d+(\.\d+)?/ })
const Comma = createToken({ name: '","', pattern: /,/ })
const NewLine = createToken({ name: 'end of line', pattern: /\r?\n/, line_breaks: true, group: Chevrotain.Lexer.SKIPPED })
const Space = createToken({ name: 'blanks', pattern: /[ \t]+/, group: Chevrotain.Lexer.SKIPPED })
const Comment = createToken({ name: 'a comment', pattern: /#[^\n]*/, group: Chevrotain.Lexer.SKIPPED })
const KEYWORDS = Object.fromEntries([
  'given', 'fakes', 'deployment', 'seed', 'with', 'commit', 'by', 'operators', 'traffic', 'of', 'to', 'at', 'a', 'second', 'for', 'as',
  'fault', 'heal', 'operator', 'do', 'mark', 'wait', 'until', 'live', 'within', 'expect', 'is', 'least', 'most', 'ms', 's'
].map(text => [text, keyword(text)])) as Readonly<Record<string, Chevrotain.TokenType>>
const key = (text: string): Chevrotain.TokenType => KEYWORDS[text] as Chevrotain.TokenType

const TOKENS = [Space, Comment, NewLine, Num, Comma, ...Object.values(KEYWORDS), Word]
const MS_PER_SECOND = 1_000
const lexer = new Chevrotain.Lexer(TOKENS, { ensureOptimizations: false })

type Parts = Statements.Statement extends infer Union ? Union extends Statements.Statement ? Omit<Union, 'line'> : never : never

/** The library builds a parser from the rules of a class. */
class ScenarioParser extends Chevrotain.EmbeddedActionsParser {
  readonly statement = this.RULE('statement', (): Parts => this.OR([
    { ALT: () => this.SUBRULE(this.given) },
    { ALT: () => this.SUBRULE(this.commit) },
    { ALT: () => this.SUBRULE(this.traffic) },
    { ALT: () => this.SUBRULE(this.fault) },
    { ALT: () => this.SUBRULE(this.heal) },
    { ALT: () => this.SUBRULE(this.operator) },
    { ALT: () => this.SUBRULE(this.act) },
    { ALT: () => { this.CONSUME(key('mark')); return { kind: 'mark' as const } } },
    { ALT: () => this.SUBRULE(this.wait) },
    { ALT: () => this.SUBRULE(this.expectation) }
  ]))

  private readonly given = this.RULE('given', (): Parts => {
    this.CONSUME(key('given'))
    return this.OR<Parts>([
      {
        ALT: () => {
          this.CONSUME(key('fakes'))
          const world = this.CONSUME(Word).image
          this.CONSUME(key('seed'))
          return { kind: 'givenFakes' as const, world, seed: this.SUBRULE(this.number) }
        }
      },
      {
        ALT: () => {
          this.CONSUME(key('deployment'))
          const shape = this.CONSUME2(Word).image
          const settings: Statements.Setting[] = []
          this.OPTION(() => {
            this.CONSUME(key('with'))
            this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => { settings.push({ name: this.CONSUME3(Word).image, value: this.SUBRULE2(this.number) }) } })
          })
          return { kind: 'givenDeployment' as const, shape, settings }
        }
      }
    ])
  })

  private readonly commit = this.RULE('commit', (): Parts => {
    this.CONSUME(key('commit'))
    const version = this.CONSUME(Word).image
    const operatorCount = this.OPTION(() => {
      this.CONSUME(key('by'))
      const count = this.SUBRULE(this.number)
      this.CONSUME(key('operators'))
      return count
    }) ?? 1
    return { kind: 'commit', version, operatorCount }
  })

  private readonly traffic = this.RULE('traffic', (): Parts => {
    this.CONSUME(key('traffic'))
    const name = this.CONSUME(Word).image
    this.CONSUME(key('of'))
    const workspace = this.CONSUME2(Word).image
    this.CONSUME(key('to'))
    const method = this.CONSUME3(Word).image
    const path = this.CONSUME4(Word).image
    this.CONSUME(key('at'))
    const ratePerSecond = this.SUBRULE(this.number)
    this.CONSUME(key('a'))
    this.CONSUME(key('second'))
    this.CONSUME(key('for'))
    const durationMs = this.SUBRULE(this.duration)
    const options: string[] = []
    this.OPTION(() => {
      this.CONSUME(key('as'))
      this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => { options.push(this.CONSUME5(Word).image) } })
    })
    return { kind: 'traffic', name, workspace, method, path, ratePerSecond, durationMs, options }
  })

  private readonly fault = this.RULE('fault', (): Parts => {
    this.CONSUME(key('fault'))
    const words = this.SUBRULE(this.words)
    const amount = this.OPTION(() => this.SUBRULE(this.number))
    const durationMs = this.OPTION2(() => {
      this.CONSUME(key('for'))
      return this.SUBRULE(this.duration)
    })
    return { kind: 'fault', words, amount, durationMs }
  })

  private readonly heal = this.RULE('heal', (): Parts => {
    this.CONSUME(key('heal'))
    return { kind: 'heal', words: this.SUBRULE(this.words) }
  })

  private readonly operator = this.RULE('operator', (): Parts => {
    this.CONSUME(key('operator'))
    return { kind: 'operator', words: this.SUBRULE(this.words) }
  })

  private readonly act = this.RULE('act', (): Parts => {
    this.CONSUME(key('do'))
    return { kind: 'do', action: this.CONSUME(Word).image, amount: this.SUBRULE(this.number) }
  })

  private readonly wait = this.RULE('wait', (): Parts => {
    this.CONSUME(key('wait'))
    return this.OR<Parts>([
      { ALT: () => ({ kind: 'wait' as const, durationMs: this.SUBRULE(this.duration) }) },
      {
        ALT: () => {
          this.CONSUME(key('until'))
          const version = this.CONSUME(Word).image
          this.CONSUME(key('is'))
          this.CONSUME(key('live'))
          this.CONSUME(key('within'))
          return { kind: 'waitVersion' as const, version, limitMs: this.SUBRULE2(this.duration) }
        }
      },
      {
        ALT: () => {
          this.CONSUME(key('for'))
          this.CONSUME(key('traffic'))
          return { kind: 'waitTraffic' as const, name: this.OPTION(() => this.CONSUME2(Word).image) }
        }
      }
    ])
  })

  private readonly expectation = this.RULE('expect', (): Parts => {
    this.CONSUME(key('expect'))
    const measure = this.CONSUME(Word).image
    const of = this.OPTION(() => {
      this.CONSUME(key('of'))
      return this.CONSUME2(Word).image
    })
    const comparison = this.OR<Statements.Comparison>([
      { ALT: () => { this.CONSUME(key('is')); return 'is' as const } },
      { ALT: () => { this.CONSUME(key('at')); this.CONSUME(key('least')); return 'atLeast' as const } },
      { ALT: () => { this.CONSUME2(key('at')); this.CONSUME(key('most')); return 'atMost' as const } }
    ])
    const value = this.SUBRULE(this.number)
    const limitMs = this.OPTION2(() => {
      this.CONSUME(key('within'))
      return this.SUBRULE(this.duration)
    })
    return { kind: 'expect', measure, of, comparison, value, limitMs }
  })

  private readonly words = this.RULE('words', (): string[] => {
    const words: string[] = []
    this.AT_LEAST_ONE({ GATE: () => this.LA(1).tokenType !== key('for'), DEF: () => { words.push(this.CONSUME(Word).image) } })
    return words
  })

  private readonly number = this.RULE('number', (): number => Number(this.CONSUME(Num).image))

  private readonly duration = this.RULE('duration', (): number => {
    const value = this.SUBRULE(this.number)
    return this.OR([
      { ALT: () => { this.CONSUME(key('ms')); return value } },
      { ALT: () => { this.CONSUME(key('s')); return value * MS_PER_SECOND } }
    ])
  })

  constructor () {
    super(TOKENS, { maxLookahead: 2 })
    this.performSelfAnalysis()
  }
}

const parser = new ScenarioParser()

/**
 * Parses a scenario.
 *
 * @param text - The scenario's text.
 * @returns Its statements, or every problem with its line.
 */
export function parse (text: string): Neverthrow.Result<Statements.Statement[], Statements.Problem[]> {
  const statements: Statements.Statement[] = []
  const problems: Statements.Problem[] = []
  for (const [index, lineText] of text.split(/\r?\n/).entries()) {
    const line = index + 1
    const lexed = lexer.tokenize(lineText)
    parser.input = lexed.tokens
    const found = lexed.tokens.length === 0 ? undefined : parser.statement()
    const errors = [
      ...lexed.errors.map(error => ({ line, column: error.column ?? 1, message: error.message })),
      ...(found === undefined && lexed.tokens.length === 0 ? [] : parser.errors.map(error => ({ line, column: columnOf(error, lineText), message: error.message })))
    ]
    problems.push(...errors)
    if (found !== undefined && errors.length === 0) statements.push({ line, ...found } as Statements.Statement)
  }
  return problems.length > 0 ? Neverthrow.err(problems) : Neverthrow.ok(statements)
}

/** The end of a line has no token: the column after the text is told. */
function columnOf (error: Chevrotain.IRecognitionException, lineText: string): number {
  const { startColumn } = error.token
  return startColumn !== undefined && Number.isInteger(startColumn) ? startColumn : lineText.length + 1
}
