/**
Configures the JavaScript engine for the processor share of the host.
*/
import {setFlagsFromString} from 'node:v8';

/** On hosts with a smaller share of a processor, the threads of the optimizing compiler slow the main thread down by more than optimized code saves. */
const minOptimizingProcessors = 0.25;

/** Whether the optimizing compiler saves time on a host with so many processors. */
export const isOptimizerWorthwhile = (processors: number): boolean => processors >= minOptimizingProcessors;

/** Turns the optimizing compiler off on small hosts; must be called before the main work starts. */
export const configureEngine = (processors: number): void => {
	if (!isOptimizerWorthwhile(processors)) {
		setFlagsFromString('--no-opt');
	}
};
