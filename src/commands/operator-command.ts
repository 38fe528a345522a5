/**
Base of the operators' commands that call an entry.
*/
import {Command, Option} from 'clipanion';
import {alignColumns} from '../utils/columns.ts';

const timeoutMs = 5000;

/** A command that calls the control address of an entry. */
export abstract class OperatorCommand extends Command {
	readonly entry = Option.String('--entry', '127.0.0.1:7081', {description: 'Control address of an entry.'});
	readonly isJson = Option.Boolean('--json', false, {description: 'Print JSON.'});

	protected async ask<Reply>(method: 'GET' | 'POST', path: string, step: string, body?: unknown): Promise<Reply> {
		const {callJson} = await import('../utils/json-client.ts');
		return callJson<Reply>({
			method, url: `http://${this.entry}${path}`, body, timeoutMs, step,
		});
	}

	protected print(value: unknown, text: string): void {
		this.context.stdout.write(this.isJson ? `${JSON.stringify(value)}\n` : `${text}\n`);
	}
}

/** Formats rows as a table with aligned columns. */
export const formatTable = (header: string[], rows: string[][]): string => alignColumns([header, ...rows]).join('\n');
