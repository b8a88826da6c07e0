/** The decisions of a gateway, {@link walnutfield.decide.Director}, and the state that they are based on. */
package walnutfield.decide;
